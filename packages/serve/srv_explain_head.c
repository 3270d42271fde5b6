/* Reads the head of the request to explain. */
#include "srv_explain_int.h"

#include <string.h>

#define METHOD_BYTES_MAX 32

/* Returns whether all bytes are visible ASCII, or spaces if these are allowed. */
static bool is_clean(const char *text, bool spaces)
{
	for (; *text; text++) {
		if (!g_ascii_isgraph(*text) && !(spaces && (*text == ' ' || *text == '\t')))
			return false;
	}
	return true;
}

static bool is_header_valid(const char *name, const char *value)
{
	return name && value && *name && is_clean(name, false) && !strchr(name, ':') &&
	       is_clean(value, true);
}

/* Returns why the head is malformed; NULL if it is valid. */
static const char *read_headers(const json_t *root, struct hdr_list *headers)
{
	const json_t *list = json_object_get(root, "headers");
	const char *host = json_string_value(json_object_get(root, "host"));
	const json_t *item;
	size_t i;

	if (host && !is_header_valid("Host", host))
		return "host is malformed";
	if (host)
		hdr_add(headers, "Host", host);
	if (list && !json_is_array(list))
		return "headers is not a list";
	json_array_foreach(list, i, item)
	{
		const char *name = json_string_value(json_array_get(item, 0));
		const char *value = json_string_value(json_array_get(item, 1));
		if (!is_header_valid(name, value) || json_array_size(item) != 2)
			return "a header is not a pair of a name and a value";
		hdr_add(headers, name, value);
	}
	return NULL;
}

const char *srv_explain_read_head(const json_t *root, struct http_server_request *http)
{
	const char *method = json_string_value(json_object_get(root, "method"));
	const char *target = json_string_value(json_object_get(root, "target"));

	if (!method || !*method || strlen(method) > METHOD_BYTES_MAX || !is_clean(method, false))
		return "method is missing or malformed";
	if (!target || *target != '/' || !is_clean(target, false))
		return "target is missing or malformed";
	http->method = g_strdup(method);
	http->target = g_strdup(target);
	return read_headers(root, &http->headers);
}
