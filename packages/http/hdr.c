#include "http/hdr.h"

#include <string.h>
#include <strings.h>

#define HDR_INITIAL_CAPACITY 16

void hdr_add_owned(struct hdr_list *list, char *name, char *value)
{
	if (list->n == list->room) {
		list->room = list->room ? 2 * list->room : HDR_INITIAL_CAPACITY;
		list->at = g_renew(struct hdr, list->at, list->room);
	}
	list->at[list->n++] = (struct hdr){.name = name, .value = value};
}

void hdr_add(struct hdr_list *list, const char *name, const char *value)
{
	hdr_add_owned(list, g_strdup(name), g_strdup(value));
}

void hdr_add_int(struct hdr_list *list, const char *name, int64_t value)
{
	hdr_add_owned(list, g_strdup(name), g_strdup_printf("%" G_GINT64_FORMAT, value));
}

const char *hdr_get(const struct hdr_list *list, const char *name)
{
	for (uint32_t i = 0; i < list->n; i++) {
		if (strcasecmp(list->at[i].name, name) == 0)
			return list->at[i].value;
	}
	return NULL;
}

void hdr_write(const struct hdr_list *list, GString *out)
{
	for (uint32_t i = 0; i < list->n; i++) {
		g_string_append(out, list->at[i].name);
		g_string_append(out, ": ");
		g_string_append(out, list->at[i].value);
		g_string_append(out, "\r\n");
	}
}

void hdr_clear(struct hdr_list *list)
{
	for (uint32_t i = 0; i < list->n; i++) {
		g_free(list->at[i].name);
		g_free(list->at[i].value);
	}
	g_free(list->at);
	*list = (struct hdr_list){0};
}

bool hdr_is_name_part(const char *at, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isalnum(at[i]) && !(at[i] && strchr("!#$%&'*+-.^_`|~", at[i])))
			return false;
	}
	return true;
}

bool hdr_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcasecmp(name, names[i]) == 0)
			return true;
	}
	return false;
}
