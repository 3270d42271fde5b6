/* Key-value store of the stub: revisions, paged range reads, watches, compaction, restores. */
#include "stub_int.h"

#include "base/clock.h"

#include <string.h>

#define PAGE_ITEMS 5 /* items in one page; small, so that tests read several */

extern const struct http_server_limits stub_http_limits;

struct store_listener {
	struct stub *s;
	struct stub_link *link; /* of the nodes that connect here; NULL: none */
};

/* Appends a change to the log, with the next revision. Takes ownership of key and value. */
static void append(struct stub *s, char *key, char *value)
{
	struct stub_item item = {
		.key = key,
		.value = value,
		.revision = (int64_t)s->log->len + 1,
		.written_ms = clock_now_ms(),
	};

	g_array_append_val(s->log, item);
}

void stub_store_write(struct stub *s, const char *key, const char *value)
{
	append(s, g_strdup(key), g_strdup(value));
}

void stub_put(struct stub *s, const char *key, const char *value)
{
	pthread_mutex_lock(&s->lock);
	stub_store_write(s, key, value);
	pthread_mutex_unlock(&s->lock);
}

void stub_set_epoch_header(struct stub *s, enum stub_epoch_header header)
{
	pthread_mutex_lock(&s->lock);
	s->epoch_header = header;
	pthread_mutex_unlock(&s->lock);
}

/* Returns how many changes of the log are older than the copy. */
static guint copy_length(const struct stub *s, int64_t copied_ms)
{
	guint n = 0;

	while (n < s->log->len && g_array_index(s->log, struct stub_item, n).written_ms < copied_ms)
		n++;
	return n;
}

void stub_restore_store(struct stub *s, int64_t copy_age_ms, int64_t rewrite_ms)
{
	int64_t now_ms = clock_now_ms();
	guint n;

	pthread_mutex_lock(&s->lock);
	n = copy_length(s, now_ms - copy_age_ms);
	g_array_append_vals(s->lost, &g_array_index(s->log, struct stub_item, n), s->log->len - n);
	g_array_set_size(s->log, n);
	s->restored_revision = n;
	s->rewrite_at_ms = now_ms + rewrite_ms;
	s->epoch++;
	pthread_mutex_unlock(&s->lock);
}

/* Returns whether the key was changed after the first n_from changes and within the first n_to. */
static bool is_changed(const struct stub *s, const char *key, guint n_from, guint n_to)
{
	for (guint i = n_from; i < n_to; i++) {
		if (strcmp(g_array_index(s->log, struct stub_item, i).key, key) == 0)
			return true;
	}
	return false;
}

/* Their writers write the lost changes again, except those that newer ones have replaced. */
static void rewrite_lost(struct stub *s)
{
	guint n_before = s->log->len;

	for (guint i = 0; i < s->lost->len; i++) {
		struct stub_item *item = &g_array_index(s->lost, struct stub_item, i);
		if (!is_changed(s, item->key, (guint)s->restored_revision, n_before)) {
			append(s, item->key, item->value);
		} else {
			g_free(item->key);
			g_free(item->value);
		}
	}
	g_array_set_size(s->lost, 0);
}

/* Returns the value of an item as nodes of the link (NULL: none) see it, base64. */
static char *encode_value(struct stub_link *link, const struct stub_item *item)
{
	char *own = NULL;
	char *value;

	if (link && g_str_has_prefix(item->key, "servers/"))
		own = stub_link_entry(link, item->value);
	value = g_base64_encode((const guchar *)(own ? own : item->value),
				strlen(own ? own : item->value));
	free(own);
	return value;
}

static json_t *item_json(struct stub_link *link, const struct stub_item *item)
{
	char *value;
	json_t *json;

	if (!item->value)
		return json_pack("{s:s, s:I, s:b}", "key", item->key, "revision",
				 (json_int_t)item->revision, "deleted", 1);
	value = encode_value(link, item);
	json = json_pack("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value", value, "revision",
			 (json_int_t)item->revision, "created", (json_int_t)item->revision,
			 "leaseId", 0);
	g_free(value);
	return json;
}

/* Returns the newest item of each key that is not deleted. */
static GHashTable *live_items(struct stub *s)
{
	GHashTable *items = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < s->log->len; i++) {
		struct stub_item *item = &g_array_index(s->log, struct stub_item, i);
		if (item->value)
			g_hash_table_insert(items, item->key, item);
		else
			g_hash_table_remove(items, item->key);
	}
	return items;
}

/* Adds the header field that every answer of the store has, unless a fault is set. */
static void add_epoch(const struct stub *s, struct hdr_list *headers)
{
	if (s->epoch_header == STUB_EPOCH_SENT)
		hdr_add_int(headers, "Store-Era", s->epoch);
	else if (s->epoch_header == STUB_EPOCH_MALFORMED)
		hdr_add(headers, "Store-Era", "x1");
}

static void answer_json(const struct stub *s, struct http_server_request *request, json_t *root)
{
	struct hdr_list headers = {0};

	add_epoch(s, &headers);
	stub_answer_json(request, 200, &headers, root);
	hdr_clear(&headers);
}

static void answer_status(const struct stub *s, struct http_server_request *request, int status)
{
	struct hdr_list headers = {0};

	add_epoch(s, &headers);
	http_server_respond(request, status, &headers, "", 0);
	hdr_clear(&headers);
}

static void answer_range(struct stub *s, struct stub_link *link,
			 struct http_server_request *request, const char *after)
{
	GHashTable *items = live_items(s);
	GList *keys = g_list_sort(g_hash_table_get_keys(items), (GCompareFunc)strcmp);
	json_t *list = json_array();
	bool more = false;

	for (GList *at = keys; at; at = at->next) {
		const char *key = at->data;
		if (after && strcmp(key, after) <= 0)
			continue;
		more = json_array_size(list) == PAGE_ITEMS;
		if (more)
			break;
		json_array_append_new(list, item_json(link, g_hash_table_lookup(items, key)));
	}
	answer_json(s, request,
		    json_pack("{s:o, s:b, s:I}", "items", list, "hasMore", (int)more, "at",
			      (json_int_t)s->log->len));
	g_list_free(keys);
	g_hash_table_destroy(items);
}

static void answer_watch(struct stub *s, const struct stub_watch *w)
{
	json_t *list = json_array();

	for (guint i = (guint)w->after; i < s->log->len; i++)
		json_array_append_new(
			list, item_json(w->link, &g_array_index(s->log, struct stub_item, i)));
	answer_json(s, w->request,
		    json_pack("{s:o, s:I}", "events", list, "at", (json_int_t)s->log->len));
}

static void begin_watch(struct stub *s, struct stub_link *link, struct http_server_request *request,
			GHashTable *query)
{
	const char *after = g_hash_table_lookup(query, "after");
	const char *wait = g_hash_table_lookup(query, "waitMs");
	int64_t after_revision;
	struct stub_watch *w;

	if (s->store_fault == STUB_STORE_COMPACTED) {
		/* only one watch fails, so that the client can resume after a full read */
		s->store_fault = STUB_STORE_OK;
		answer_status(s, request, 410);
		return;
	}
	after_revision = after ? g_ascii_strtoll(after, NULL, 10) : 0;
	if (after_revision > (int64_t)s->log->len) {
		answer_status(s, request, 410);
		return;
	}
	w = g_new0(struct stub_watch, 1);
	w->request = request;
	w->link = link;
	w->after = after_revision;
	w->began_ms = clock_now_ms();
	w->until_ms = w->began_ms + (wait ? g_ascii_strtoll(wait, NULL, 10) : 0);
	g_ptr_array_add(s->watches, w);
}

static void handle(struct stub *s, struct stub_link *link, struct http_server_request *request)
{
	const char *query_start = strchr(request->target, '?');
	GHashTable *query = g_uri_parse_params(query_start ? query_start + 1 : "", -1, "&",
					       G_URI_PARAMS_NONE, NULL);

	pthread_mutex_lock(&s->lock);
	if (s->store_fault == STUB_STORE_UNAVAILABLE)
		answer_status(s, request, 503);
	else if (s->store_fault == STUB_STORE_HANG || stub_link_store_hangs(link))
		(void)request; /* left unanswered */
	else if (g_str_has_prefix(request->target, "/-/kv-range"))
		answer_range(s, link, request, g_hash_table_lookup(query, "after"));
	else if (g_str_has_prefix(request->target, "/-/kv-watch"))
		begin_watch(s, link, request, query);
	else
		answer_status(s, request, 404);
	pthread_mutex_unlock(&s->lock);
	g_hash_table_unref(query);
}

static void on_request(void *arg, struct http_server_request *request)
{
	const struct store_listener *listener = arg;

	handle(listener->s, listener->link, request);
}

static void on_disconnect(void *arg, struct http_server_request *request)
{
	struct stub *s = ((struct store_listener *)arg)->s;

	pthread_mutex_lock(&s->lock);
	for (guint i = s->watches->len; i > 0; i--) {
		struct stub_watch *w = g_ptr_array_index(s->watches, i - 1);
		if (w->request != request)
			continue;
		g_ptr_array_remove_index_fast(s->watches, i - 1);
		g_free(w);
	}
	pthread_mutex_unlock(&s->lock);
}

void stub_store_tick(struct stub *s, int64_t now_ms)
{
	if (s->lost->len > 0 && now_ms >= s->rewrite_at_ms)
		rewrite_lost(s);
	for (guint i = s->watches->len; i > 0; i--) {
		struct stub_watch *w = g_ptr_array_index(s->watches, i - 1);
		bool is_due = w->after < (int64_t)s->log->len || now_ms >= w->until_ms;
		bool is_cut = s->cut_after_ms > 0 && now_ms - w->began_ms >= s->cut_after_ms;
		if ((!is_due && !is_cut) || stub_link_store_hangs(w->link))
			continue;
		g_ptr_array_remove_index_fast(s->watches, i - 1);
		if (is_due)
			answer_watch(s, w);
		else
			http_server_abort(w->request);
		g_free(w);
	}
}

struct http_server *stub_store_listen(struct stub *s, struct stub_link *link, GError **error)
{
	struct store_listener *listener = g_new0(struct store_listener, 1);
	const struct http_server_handler handler = {
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.arg = listener,
	};
	struct http_server *server;

	listener->s = s;
	listener->link = link;
	server = http_server_new(&s->loop, "127.0.0.1:0", &handler, &stub_http_limits, error);
	if (!server)
		g_free(listener);
	return server;
}

const char *stub_store_address(const struct stub *s)
{
	return http_server_address(s->store);
}
