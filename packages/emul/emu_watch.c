/* Long polling of the emulated platform's configuration and VM list. */
#include "base/clock.h"
#include "base/mhd.h"
#include "emu_int.h"

#include <errno.h>
#include <string.h>

#define EMU_WAIT_MAX_MS 60000
#define EMU_ETAG_BYTES 33

typedef void (*tag_fn)(struct emu *e, char *tag);

static struct timespec deadline_after(int64_t wait_ms)
{
	int64_t at_ms = clock_wall_ms() + wait_ms;

	return (struct timespec){.tv_sec = at_ms / CLOCK_MS_PER_S,
				 .tv_nsec = at_ms % CLOCK_MS_PER_S * CLOCK_NS_PER_MS};
}

static int64_t get_wait_ms(struct MHD_Connection *conn)
{
	const char *text = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "wait_ms");
	gint64 wait_ms = 0;

	if (text)
		g_ascii_string_to_signed(text, 10, 0, EMU_WAIT_MAX_MS, &wait_ms, NULL);
	return wait_ms;
}

/*
 * Waits until the state differs from the client's tag, at most for the time that the client asks
 * for. Writes the current tag. The caller holds e->lock.
 */
static void await_change(struct emu *e, struct MHD_Connection *conn, tag_fn compute_tag, char *tag)
{
	const char *client_tag = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");
	struct timespec until = deadline_after(get_wait_ms(conn));

	compute_tag(e, tag);
	while (client_tag && strcmp(client_tag, tag) == 0 && !e->stopping && !e->faults.no_watch &&
	       !e->faults.down &&
	       pthread_cond_timedwait(&e->changed, &e->lock, &until) != ETIMEDOUT)
		compute_tag(e, tag);
}

/*
 * True if the client's tag is current, so that the answer is 304. The parameter "after" takes
 * precedence over If-None-Match.
 */
static bool is_unchanged(struct MHD_Connection *conn, const char *tag)
{
	const char *client_tag = MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "after");

	if (!client_tag)
		client_tag = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "If-None-Match");
	return client_tag && strcmp(client_tag, tag) == 0;
}

static enum MHD_Result answer_tagged(struct MHD_Connection *conn, const char *tag, const char *text,
				     size_t len)
{
	bool unchanged = is_unchanged(conn, tag);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		unchanged ? 0 : len, unchanged ? (void *)"" : (void *)text, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(response, "ETag", tag);
	rc = MHD_queue_response(conn, unchanged ? MHD_HTTP_NOT_MODIFIED : MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return rc;
}

static const char *served_document(const struct emu *e)
{
	return e->stale_document ? e->stale_document : e->document;
}

static void tag_text(const char *text, size_t len, char *tag)
{
	char *sum = g_compute_checksum_for_data(G_CHECKSUM_MD5, (const guchar *)text, len);

	g_strlcpy(tag, sum, EMU_ETAG_BYTES);
	g_free(sum);
}

static void tag_config(struct emu *e, char *tag)
{
	tag_text(served_document(e), strlen(served_document(e)), tag);
}

static void tag_vms(struct emu *e, char *tag)
{
	g_snprintf(tag, EMU_ETAG_BYTES, "%" G_GINT64_FORMAT, e->vms_version);
}

static void split(const char *document, struct cfg_section_text texts[CFG_SECTIONS])
{
	GPtrArray *faults = schema_faults_new();

	cfg_split(document, strlen(document), texts, faults);
	g_ptr_array_unref(faults);
}

/* {"sections":{NAME:{"tag":TAG,"line":N}}} */
static char *make_index(const char *document)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	json_t *list = json_object();
	char tag[EMU_ETAG_BYTES];

	split(document, texts);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (!texts[i].text)
			continue;
		tag_text(texts[i].text, texts[i].len, tag);
		json_object_set_new(list, cfg_section_name(i),
				    json_pack("{s:s, s:i}", "tag", tag, "line", texts[i].line));
	}
	json_t *json = json_pack("{s:o}", "sections", list);
	char *text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

static enum MHD_Result answer_section(struct MHD_Connection *conn, const char *document,
				      const char *name)
{
	struct cfg_section_text texts[CFG_SECTIONS];
	char tag[EMU_ETAG_BYTES];

	split(document, texts);
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (!texts[i].text || strcmp(cfg_section_name(i), name) != 0)
			continue;
		tag_text(texts[i].text, texts[i].len, tag);
		return answer_tagged(conn, tag, texts[i].text, texts[i].len);
	}
	return mhd_respond(conn, 404, "text/plain", "", 0);
}

enum MHD_Result emu_answer_config(struct emu *e, struct MHD_Connection *conn, const char *url)
{
	static const char prefix[] = "/v1/config/";
	bool whole = strcmp(url, "/v1/config") == 0;
	bool index = strcmp(url, "/v1/config/index") == 0;
	enum MHD_Result rc;
	char tag[EMU_ETAG_BYTES];

	if (!whole && (!g_str_has_prefix(url, prefix) || e->faults.no_index))
		return mhd_respond(conn, 404, "text/plain", "", 0);
	pthread_mutex_lock(&e->lock);
	if (whole || index)
		await_change(e, conn, tag_config, tag);
	char *document = g_strdup(served_document(e));
	pthread_mutex_unlock(&e->lock);
	if (whole) {
		rc = answer_tagged(conn, tag, document, strlen(document));
	} else if (index) {
		char *text = make_index(document);
		rc = answer_tagged(conn, tag, text, strlen(text));
		free(text);
	} else {
		rc = answer_section(conn, document, url + strlen(prefix));
	}
	g_free(document);
	return rc;
}

enum MHD_Result emu_answer_vms(struct emu *e, struct MHD_Connection *conn)
{
	json_t *list = json_array();
	char tag[EMU_ETAG_BYTES];
	const char *id;
	json_t *vm;

	pthread_mutex_lock(&e->lock);
	await_change(e, conn, tag_vms, tag);
	json_object_foreach(e->vms, id, vm) json_array_append(list, vm);
	json_t *json = json_pack("{s:I, s:o}", "version", (json_int_t)e->vms_version, "vms", list);
	char *text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	pthread_mutex_unlock(&e->lock);
	enum MHD_Result rc = answer_tagged(conn, tag, text, strlen(text));
	free(text);
	return rc;
}
