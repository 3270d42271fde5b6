/*
 * Takes a data centre out of service or returns it to service, as an operator does: by publishing
 * an edited document.
 */
#include "base/clock.h"
#include "cli/load.h"

#include <string.h>

/* Replaces the first occurrence of from that follows the text after; NULL when there is none. */
static char *replace_first(const char *text, const char *after, const char *from, const char *to)
{
	const char *begin = strstr(text, after);
	const char *at = begin ? strstr(begin, from) : NULL;

	if (!at)
		return NULL;
	return g_strdup_printf("%.*s%s%s", (int)(at - text), text, to, at + strlen(from));
}

/* Returns the document with a higher revision of its places section; NULL without a revision. */
static char *increment_revision(const char *text)
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

static char *edit_document(const char *text, const char *dc, bool in_service)
{
	char *entry = g_strdup_printf("name: %s,", dc);
	char *flipped =
		replace_first(text, entry, in_service ? "in_service: false" : "in_service: true",
			      in_service ? "in_service: true" : "in_service: false");
	char *edited = flipped ? increment_revision(flipped) : NULL;

	g_free(flipped);
	g_free(entry);
	return edited;
}

bool load_set_dc_in_service(struct load *load, bool in_service)
{
	const struct client_request request = {
		.method = "GET", .address = load->options.platform, .path = "/v1/config"};
	struct fetch_response response;
	char *edited = NULL;
	bool ok = client_request(load->http, &request, &response);

	if (ok) {
		char *text = g_strndup((const char *)response.body->data, response.body->len);
		edited = edit_document(text, load->options.outage_dc, in_service);
		g_free(text);
	}
	fetch_response_clear(&response);
	ok = edited && client_put(load->http, load->options.platform, "/control/config", edited);
	g_free(edited);
	pthread_mutex_lock(&load->lock);
	if (in_service)
		load->outage_end_ms = clock_now_ms();
	else
		load->outage_start_ms = clock_now_ms();
	pthread_mutex_unlock(&load->lock);
	return ok;
}
