/* Takes a data centre out of service, or back, as an operator does: by publishing the document. */
#include "base/clk.h"
#include "cli/load.h"

#include <string.h>

static char *replace_first(const char *text, const char *after, const char *from, const char *to)
{
	const char *begin = strstr(text, after);
	const char *at = begin ? strstr(begin, from) : NULL;

	if (!at)
		return NULL;
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

/* Raises the revision of the section of places. */
static char *raise_revision(const char *text)
{
	const char *begin = strstr(text, "places:");
	const char *at = begin ? strstr(begin, "revision: ") : NULL;
	char *from;
	char *to;
	char *edited;

	if (!at)
		return NULL;
	int64_t revision = g_ascii_strtoll(at + strlen("revision: "), NULL, 10);
	from = g_strdup_printf("revision: %" G_GINT64_FORMAT "\n", revision);
	to = g_strdup_printf("revision: %" G_GINT64_FORMAT "\n", revision + 1);
	edited = replace_first(text, "places:", from, to);
	g_free(from);
	g_free(to);
	return edited;
}

static char *edit(const char *text, const char *dc, bool in_service)
{
	char *entry = g_strdup_printf("name: %s,", dc);
	char *flipped =
		replace_first(text, entry, in_service ? "in_service: false" : "in_service: true",
			      in_service ? "in_service: true" : "in_service: false");
	char *edited = flipped ? raise_revision(flipped) : NULL;

	g_free(flipped);
	g_free(entry);
	return edited;
}

bool load_set_dc_in_service(struct load *load, bool in_service)
{
	const struct ask a = {
		.method = "GET", .address = load->options.platform, .path = "/v1/config"};
	struct hcl_answer answer;
	char *edited = NULL;
	bool ok = ask(load->http, &a, &answer);

	if (ok) {
		char *text = g_strndup((const char *)answer.body->data, answer.body->len);
		edited = edit(text, load->options.outage_dc, in_service);
		g_free(text);
	}
	hcl_answer_clear(&answer);
	ok = edited && client_put(load->http, load->options.platform, "/control/config", edited);
	g_free(edited);
	pthread_mutex_lock(&load->lock);
	if (in_service)
		load->outage_end_ms = clk_now_ms();
	else
		load->outage_start_ms = clk_now_ms();
	pthread_mutex_unlock(&load->lock);
	return ok;
}
