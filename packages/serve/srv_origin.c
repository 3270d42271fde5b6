/*
 * Origin versions of streams on the wire: tells other nodes which version began a stream, asks them
 * when a caller resumes one, and starts or refuses the request by what is known.
 */
#include "srv_req_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define RECORDS_PER_MESSAGE 500
/* An answer of the source says what held at most this long before it arrived. */
#define ANSWER_DELAY_MS 500
#define NEWS_DELAY_MS 200 /* on the way from a reader of the source to a node that follows */
/* A longer time since the last tick means that the process was paused and its view may be old. */
#define PAUSE_MS 400
#define UPSTREAMS_INTERVAL_MS 1000 /* between two notes of the versions in the view */

/* Records that wait to be sent, by destination. */
struct outbox {
	struct srv *s;
	GHashTable *lists; /* peer address -> GArray of struct stream_origin_record */
	int64_t now_ms;
};

static void encode_record(Peer__StreamOrigin *out, const struct stream_origin_record *record,
			  int64_t now_ms)
{
	peer__stream_origin__init(out);
	out->stream = record->stream;
	out->service = (char *)record->service;
	out->version = (char *)(record->version ? record->version : "");
	out->age_ms = (uint32_t)MAX(now_ms - record->began_ms, 0);
	out->uncertain = !record->version;
	out->upstream = record->upstream;
}

static struct stream_origin_record decode_record(const Peer__StreamOrigin *in,
						 enum stream_origin_source source, int64_t now_ms)
{
	return (struct stream_origin_record){
		.stream = in->stream,
		.service = in->service,
		.version = in->uncertain ? NULL : in->version,
		.began_ms = now_ms - in->age_ms,
		.source = source,
		.upstream = in->upstream,
	};
}

static void send_records(struct srv *s, const char *destination,
			 const struct stream_origin_record *records, guint n, int64_t now_ms)
{
	Peer__StreamOrigin *wire = g_new0(Peer__StreamOrigin, n);
	Peer__StreamOrigin **list = g_new0(Peer__StreamOrigin *, n);
	Peer__OriginNote note = PEER__ORIGIN_NOTE__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	for (guint i = 0; i < n; i++) {
		encode_record(&wire[i], &records[i], now_ms);
		list[i] = &wire[i];
	}
	note.origins = list;
	note.n_origins = n;
	message.kind_case = PEER__MESSAGE__KIND_ORIGIN_NOTE;
	message.origin_note = &note;
	s->counters[SRV_ORIGIN_NOTES] += n;
	srv_peer_send(s, destination, &message);
	g_free(list);
	g_free(wire);
}

static void outbox_init(struct outbox *box, struct srv *s, int64_t now_ms)
{
	box->s = s;
	box->now_ms = now_ms;
	box->lists = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_array_unref);
}

static bool put_record(void *arg, const struct stream_origin_record *record)
{
	struct outbox *box = arg;
	char keepers[STREAM_ORIGIN_TOLD][GOSSIP_NAME_BYTES];
	uint32_t n = gossip_rank(box->s->fleet, record->stream, keepers, STREAM_ORIGIN_TOLD,
				 box->now_ms);

	for (uint32_t i = 0; i < n; i++) {
		GArray *list = g_hash_table_lookup(box->lists, keepers[i]);
		if (!list) {
			list = g_array_new(FALSE, FALSE, sizeof(*record));
			g_hash_table_insert(box->lists, g_strdup(keepers[i]), list);
		}
		g_array_append_vals(list, record, 1);
	}
	return n > 0;
}

static void outbox_flush(struct outbox *box)
{
	GHashTableIter iter;
	gpointer destination;
	gpointer value;

	g_hash_table_iter_init(&iter, box->lists);
	while (g_hash_table_iter_next(&iter, &destination, &value)) {
		const GArray *list = value;
		for (guint i = 0; i < list->len; i += RECORDS_PER_MESSAGE)
			send_records(box->s, destination,
				     &g_array_index(list, struct stream_origin_record, i),
				     MIN(list->len - i, RECORDS_PER_MESSAGE), box->now_ms);
	}
	g_hash_table_destroy(box->lists);
}

/* Tells other nodes the origins that they have to know. */
static void tell(struct srv *s, int64_t now_ms)
{
	struct outbox box;

	outbox_init(&box, s, now_ms);
	stream_origin_tell(s->origins, s->stop_began_ms > 0, put_record, &box, now_ms);
	outbox_flush(&box);
}

void srv_origin_hand_over(struct srv *s, int64_t now_ms)
{
	struct outbox box;

	outbox_init(&box, s, now_ms);
	stream_origin_foreach(s->origins, put_record, &box, now_ms);
	log_info("stream_origins_handed_over", "{s:i, s:i}", "streams",
		 (int)stream_origin_count(s->origins), "nodes", (int)g_hash_table_size(box.lists));
	outbox_flush(&box);
}

bool srv_origin_put_upstream(struct srv *s, struct pub_upstream *doc, struct view_revision revision,
			     int64_t now_ms)
{
	char *id = g_strdup(doc->id);
	const struct view_upstream *u;
	bool changed;

	stream_origin_note_version(s->origins, doc->service, doc->version, now_ms);
	changed = view_put_upstream(s->view, doc, revision, now_ms);
	u = g_hash_table_lookup(s->view->upstreams, id);
	if (changed && u && stream_origin_note_restart(s->origins, id, u->doc->version, now_ms)) {
		log_info("stream_origins_uncertain", "{s:s, s:s}", "upstream", id, "version",
			 u->doc->version);
		tell(s, now_ms);
	}
	g_free(id);
	return changed;
}

void srv_origin_note_read(struct srv *s, int64_t sent_ms, bool has_history, int64_t now_ms)
{
	bool is_first = stream_origin_as_of_ms(s->origins) == 0;

	stream_origin_note_upstreams(s->origins, s->view, now_ms);
	stream_origin_note_view(s->origins, MAX(sent_ms, now_ms - ANSWER_DELAY_MS), has_history);
	if (is_first && s->set->first_start)
		stream_origin_note_first_start(s->origins, now_ms);
	/* the pages of a full read may be of different moments */
	if (has_history)
		stream_origin_note_read(s->origins, sent_ms);
}

void srv_origin_note_news(struct srv *s, int64_t now_ms)
{
	stream_origin_note_upstreams(s->origins, s->view, now_ms);
	stream_origin_note_view(s->origins, now_ms - ANSWER_DELAY_MS - NEWS_DELAY_MS, true);
}

void srv_origin_note_snapshot(struct srv *s, int64_t age_ms, int64_t now_ms)
{
	stream_origin_note_upstreams(s->origins, s->view, now_ms);
	stream_origin_note_view(s->origins, now_ms - age_ms - ANSWER_DELAY_MS, false);
}

void srv_origin_note_source_lost(struct srv *s, int64_t now_ms)
{
	stream_origin_distrust_view(s->origins, now_ms);
}

static bool is_paused(const struct srv *s, int64_t now_ms)
{
	return now_ms - s->last_tick_ms > PAUSE_MS;
}

bool srv_origin_is_view_fresh(const struct srv *s, int64_t now_ms)
{
	return !is_paused(s, now_ms) && stream_origin_is_fresh(s->origins, now_ms);
}

void srv_origin_note_tick(struct srv *s, int64_t now_ms)
{
	if (is_paused(s, now_ms))
		stream_origin_distrust_view(s->origins, now_ms);
}

void srv_origin_tick(struct srv *s, int64_t now_ms)
{
	tell(s, now_ms);
	if (now_ms - s->origins_noted_ms < UPSTREAMS_INTERVAL_MS)
		return;
	s->origins_noted_ms = now_ms;
	stream_origin_note_upstreams(s->origins, s->view, now_ms);
	stream_origin_expire(s->origins, now_ms);
}

static bool is_resumable(const struct srv_req *r)
{
	return r->route->kind == PUB_KIND_STREAM && r->route->resumable;
}

bool srv_origin_is_resumption(const struct srv_req *r)
{
	return is_resumable(r) && (r->meta.resumes || r->meta.last_event >= 0);
}

bool srv_origin_may_go_on(const struct srv_req *r, int64_t now_ms)
{
	const struct stream_origin_record *record =
		stream_origin_find(r->s->origins, r->origin.stream, now_ms);

	return r->streaming && is_resumable(r) && r->origin.version && (!record || record->version);
}

bool srv_origin_begins(const struct srv_req *r)
{
	return is_resumable(r) && !r->origin.version;
}

bool srv_origin_is_none_left(const struct srv_req *r)
{
	return r->origin.version &&
	       !stream_origin_has_upstream(r->s->view, r->service_name, r->origin.version);
}

void srv_origin_end_none_left(struct srv_req *r)
{
	srv_count(r->s, SRV_ORIGIN_NONE_LEFT);
	if (r->response_started || r->runs > 0)
		srv_req_fail(r, 502, SRV_NONE_LEFT_REASON);
	else
		srv_req_refuse(r, 0, SRV_NONE_LEFT_REASON);
}

const char *srv_origin_version_of(struct srv *s, const struct srv_upstream *u)
{
	const struct view_upstream *entry = g_hash_table_lookup(s->view->upstreams, u->id);

	/* active calls may keep the address of an upstream that has started again elsewhere */
	if (!entry || strcmp(entry->doc->address, u->address) != 0)
		return NULL;
	return g_intern_string(entry->doc->version);
}

void srv_origin_note_answer(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;

	if (!is_resumable(r) || r->origin.version)
		return;
	r->origin.version = attempt->version;
	r->origin.source = STREAM_ORIGIN_BEGUN;
	r->origin.age_ms = 0;
}

void srv_origin_note_event(struct srv_req *r)
{
	int64_t now_ms = clock_now_ms();

	if (!is_resumable(r) || r->origin.noted == r->winner)
		return;
	r->origin.noted = r->winner;
	stream_origin_begin(r->s->origins, r->origin.stream, r->service_name, r->origin.version,
			    r->winner->upstream->id, now_ms);
	tell(r->s, now_ms);
}

void srv_origin_note_complete(struct srv_req *r)
{
	if (is_resumable(r))
		stream_origin_complete(r->s->origins, r->origin.stream);
}

static void ask(struct srv_req *r, int64_t now_ms)
{
	char asked[STREAM_ORIGIN_ASKED][GOSSIP_NAME_BYTES];
	struct stream_resumption *resumption = &r->origin.resumption;
	Peer__OriginAsk question = PEER__ORIGIN_ASK__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;

	resumption->asked_ms = now_ms;
	resumption->asked =
		gossip_rank(r->s->fleet, resumption->stream, asked, STREAM_ORIGIN_ASKED, now_ms);
	question.stream = resumption->stream;
	question.service = (char *)r->service_name;
	message.kind_case = PEER__MESSAGE__KIND_ORIGIN_ASK;
	message.origin_ask = &question;
	for (uint32_t i = 0; i < resumption->asked; i++)
		srv_peer_send(r->s, asked[i], &message);
}

/* Logs what was known when no version could be told for certain. */
static void log_unknown(const struct srv_req *r, int64_t now_ms)
{
	const struct stream_resumption *resumption = &r->origin.resumption;
	const struct stream_origin *o = r->s->origins;
	const char *versions[STREAM_ORIGIN_VERSIONS_MAX];

	log_info("resumption_unknown", "{s:s, s:s, s:s, s:i, s:I, s:b, s:b, s:I, s:i, s:i}",
		 "request", r->meta.attempt, "resumes", r->meta.resumes ? r->meta.resumes : "",
		 "service", r->service_name, "versions",
		 (int)stream_origin_list_versions(o, r->service_name, versions,
						  STREAM_ORIGIN_VERSIONS_MAX, now_ms),
		 "followed_ms", (json_int_t)stream_origin_followed_ms(o, now_ms), "vouched_for",
		 (int)resumption->is_vouched_for, "uncertain", (int)resumption->is_uncertain,
		 "read_ms_ago",
		 (json_int_t)(resumption->read_ms > 0 ? now_ms - resumption->read_ms : -1),
		 "nodes_asked", (int)resumption->asked, "nodes_answered",
		 (int)resumption->answered);
}

static void refuse_unknown(struct srv_req *r, int64_t retry_ms)
{
	log_unknown(r, clock_now_ms());
	srv_count(r->s, SRV_ORIGIN_UNKNOWN);
	srv_req_refuse(r, retry_ms, SRV_VERSION_UNKNOWN_REASON);
}

/* Returns false if the source can't be read. */
static bool read_source(struct srv_req *r, int64_t now_ms)
{
	r->origin.resumption.read_ms = now_ms;
	srv_count(r->s, SRV_ORIGIN_READS);
	return srv_feed_read_now(r->s->feed, now_ms);
}

static void wait_for_answers(struct srv_req *r)
{
	r->origin.is_waiting = true;
	g_hash_table_add(r->s->resumptions, r);
	srv_req_arm_timer(r);
}

static void apply_decision(struct srv_req *r, const struct stream_origin_decision *d)
{
	r->origin.version = d->version;
	r->origin.source = d->source;
	r->origin.age_ms = d->age_ms;
	r->origin.ran_at = d->upstream;
}

/* Starts or refuses the request, or waits for answers; may free it. */
void srv_origin_decide(struct srv_req *r)
{
	struct srv *s = r->s;
	int64_t now_ms = clock_now_ms();
	struct stream_origin_decision d =
		stream_origin_decide(s->origins, &r->origin.resumption, s->view, now_ms);

	if (d.verdict == STREAM_ORIGIN_ASK) {
		ask(r, now_ms);
		d = stream_origin_decide(s->origins, &r->origin.resumption, s->view, now_ms);
	}
	if (d.verdict == STREAM_ORIGIN_READ)
		d.verdict = read_source(r, now_ms) ? STREAM_ORIGIN_WAIT : STREAM_ORIGIN_UNKNOWN_YET;
	if (d.verdict == STREAM_ORIGIN_WAIT) {
		wait_for_answers(r);
		return;
	}
	srv_origin_cancel(r);
	apply_decision(r, &d);
	switch (d.verdict) {
	case STREAM_ORIGIN_GO_ON:
		srv_req_proceed(r);
		break;
	case STREAM_ORIGIN_NONE_LEFT:
		srv_origin_end_none_left(r);
		break;
	case STREAM_ORIGIN_UNKNOWN_YET:
		refuse_unknown(r, SRV_VERSION_RETRY_MS);
		break;
	default:
		refuse_unknown(r, 0);
	}
}

static void begin_resumption(struct srv_req *r, int64_t now_ms)
{
	r->origin.resumption = (struct stream_resumption){
		.stream = r->meta.resumes ? r->origin.stream : 0,
		.service = r->service_name,
		.came_ms = now_ms,
	};
}

static void set_stream(struct srv_req *r)
{
	r->origin.stream = stream_origin_hash(r->meta.resumes ? r->meta.resumes : r->meta.attempt);
}

struct stream_origin_decision srv_origin_peek(struct srv_req *r, int64_t now_ms)
{
	struct stream_origin_decision d;

	set_stream(r);
	begin_resumption(r, now_ms);
	d = stream_origin_decide(r->s->origins, &r->origin.resumption, r->s->view, now_ms);
	apply_decision(r, &d);
	return d;
}

void srv_origin_start(struct srv_req *r)
{
	set_stream(r);
	if (!srv_origin_is_resumption(r)) {
		srv_req_proceed(r);
		return;
	}
	srv_count(r->s, SRV_RESUMPTIONS);
	begin_resumption(r, clock_now_ms());
	srv_origin_decide(r);
}

void srv_origin_cancel(struct srv_req *r)
{
	if (r->origin.is_waiting)
		g_hash_table_remove(r->s->resumptions, r);
	r->origin.is_waiting = false;
}

void srv_origin_clear(struct srv_req *r)
{
	srv_origin_cancel(r);
	srv_run_check_clear(r);
	g_strfreev(r->origin.candidates);
}

int64_t srv_origin_wait_until_ms(const struct srv_req *r)
{
	return r->origin.is_waiting ? stream_origin_wait_until_ms(&r->origin.resumption)
				    : INT64_MAX;
}

/* Returns the ids of the usable upstreams of a version; free the array, not the ids. */
static GPtrArray *list_upstreams(const struct srv *s, const struct stream_origin_record *record)
{
	GPtrArray *ids = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->view->upstreams);
	while (record && record->version && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct view_upstream *u = value;
		if (strcmp(u->doc->service, record->service) == 0 &&
		    strcmp(u->doc->version, record->version) == 0 && view_is_usable(s->view, u))
			g_ptr_array_add(ids, u->doc->id);
	}
	return ids;
}

static void handle_ask(struct srv *s, const char *from, const Peer__OriginAsk *question)
{
	int64_t now_ms = clock_now_ms();
	const struct stream_origin_record *record =
		stream_origin_find(s->origins, question->stream, now_ms);
	const char *versions[STREAM_ORIGIN_VERSIONS_MAX];
	GPtrArray *upstreams = list_upstreams(s, record);
	Peer__OriginReply reply = PEER__ORIGIN_REPLY__INIT;
	Peer__Message message = PEER__MESSAGE__INIT;
	Peer__StreamOrigin origin;

	reply.stream = question->stream;
	reply.versions = (char **)versions;
	reply.n_versions = stream_origin_list_versions(s->origins, question->service, versions,
						       STREAM_ORIGIN_VERSIONS_MAX, now_ms);
	if (!is_paused(s, now_ms)) {
		reply.following = stream_origin_is_following(s->origins, now_ms);
		reply.followed_ms = (uint32_t)stream_origin_followed_ms(s->origins, now_ms);
		reply.view_age_ms = (uint32_t)(now_ms - stream_origin_as_of_ms(s->origins));
	}
	reply.upstreams = (char **)upstreams->pdata;
	reply.n_upstreams = upstreams->len;
	if (record) {
		encode_record(&origin, record, now_ms);
		reply.origin = &origin;
	}
	message.kind_case = PEER__MESSAGE__KIND_ORIGIN_REPLY;
	message.origin_reply = &reply;
	srv_peer_send_when_open(s, from, &message);
	g_ptr_array_unref(upstreams);
}

/* Keeps the ids of the upstreams that the node with the record knows to be of its version. */
static void keep_candidates(struct srv_req *r, const Peer__OriginReply *reply)
{
	g_strfreev(r->origin.candidates);
	r->origin.candidates = g_new0(char *, reply->n_upstreams + 1);
	for (size_t i = 0; i < reply->n_upstreams; i++)
		r->origin.candidates[i] = g_strdup(reply->upstreams[i]);
}

static void apply_reply(struct srv_req *r, const Peer__OriginReply *reply, int64_t now_ms)
{
	struct stream_origin_record record;
	struct stream_origin_answer answer = {
		.versions = reply->versions,
		.n_versions = (uint32_t)reply->n_versions,
		.followed_ms = reply->followed_ms,
		.view_age_ms = reply->view_age_ms,
	};

	if (reply->origin) {
		record = decode_record(reply->origin, STREAM_ORIGIN_REPLY, now_ms);
		answer.record = &record;
		keep_candidates(r, reply);
	}
	stream_origin_apply_answer(r->s->origins, &r->origin.resumption, &answer, now_ms);
	srv_origin_decide(r);
}

void srv_origin_decide_waiting(struct srv *s)
{
	GList *waiting = g_hash_table_get_keys(s->resumptions);

	for (GList *at = waiting; at; at = at->next) {
		struct srv_req *r = at->data;
		/* an earlier one may have been freed, but frees no other request */
		if (r->origin.resumption.read_ms > 0)
			srv_origin_decide(r);
	}
	g_list_free(waiting);
}

static void handle_reply(struct srv *s, const Peer__OriginReply *reply)
{
	GList *waiting = g_hash_table_get_keys(s->resumptions);
	int64_t now_ms = clock_now_ms();

	for (GList *at = waiting; at; at = at->next) {
		struct srv_req *r = at->data;
		/* an earlier one may have been freed, but frees no other request */
		if (r->origin.resumption.stream == reply->stream)
			apply_reply(r, reply, now_ms);
	}
	g_list_free(waiting);
}

static void handle_note(struct srv *s, const Peer__OriginNote *note)
{
	int64_t now_ms = clock_now_ms();

	for (size_t i = 0; i < note->n_origins; i++) {
		const struct stream_origin_record record =
			decode_record(note->origins[i], STREAM_ORIGIN_NOTED, now_ms);
		stream_origin_learn(s->origins, &record, now_ms);
	}
}

void srv_origin_message(struct srv *s, const Peer__Message *message)
{
	switch (message->kind_case) {
	case PEER__MESSAGE__KIND_ORIGIN_NOTE:
		handle_note(s, message->origin_note);
		break;
	case PEER__MESSAGE__KIND_ORIGIN_ASK:
		handle_ask(s, message->from_vm, message->origin_ask);
		break;
	case PEER__MESSAGE__KIND_ORIGIN_REPLY:
		handle_reply(s, message->origin_reply);
		break;
	default:
		log_warn("message_unknown", "{s:i}", "kind", (int)message->kind_case);
	}
}
