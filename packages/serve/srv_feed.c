/*
 * Client of the source of configuration and upstreams: a full read, then one watch after another.
 * The pause between two watches lets one call return many changes. When the source's epoch has
 * risen it was restored from a copy, and everything is read anew.
 *
 * A source that answers may cut a call that waits. So a call whose connection ends without an
 * answer says nothing: the same is asked again at once, and not made to wait. The outcome of that
 * call tells whether the source is available.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

/*
 * Pause between watches. It grows with the number of nodes to limit the total call rate at the
 * source, and is bounded because it delays changes, which have to be in force within 2.5 s.
 */
#define WATCH_PAUSE_MS_PER_NODE 12
#define WATCH_PAUSE_MIN_MS 400
#define WATCH_PAUSE_MAX_MS 1000
#define WATCH_MS 1000	       /* the source may hold a watch open this long if nothing changes */
#define ANSWER_TIMEOUT_MS 1000 /* a call that takes longer, not counting its wait, has failed */
#define CHECK_WAIT_MS 1	       /* wait of a watch whose answer tells whether the source is there */
#define CHECK_TIMEOUT_MS 500   /* a working source answers such a call in milliseconds */
#define CONNECT_TIMEOUT_MS 700
#define RETRY_MS 300	  /* delay after a failure; doubles with each consecutive failure */
#define RETRY_MAX_MS 1200 /* bounded because it delays changes, as WATCH_PAUSE_MAX_MS is */
/* The same for a node that can't serve yet, since it has no view. */
#define FIRST_RETRY_MS 100
#define FIRST_RETRY_MAX_MS 400
#define REPLY_BYTES_MAX (16 * 1024 * 1024)

enum feed_state {
	FEED_PAUSED,  /* the next call is due at due_ms */
	FEED_READING, /* a call for a page of the full read is pending */
	FEED_WATCHING,
};

struct srv_feed {
	struct srv *s;
	struct http_client_origin *origin;
	struct http_client_call *call;
	enum feed_state state;
	bool has_full_read;   /* a full read is complete; the next call watches from revision on */
	char *page_start_key; /* last key of the previous page */
	int64_t first_revision;
	int64_t revision;
	int64_t epoch;		    /* of the full read that is complete or in progress */
	struct view_revision known; /* where the last full read and its watches got to */
	bool epoch_unknown_logged;
	int64_t due_ms;
	int64_t sent_ms;
	int64_t wait_ms;       /* for which the source may hold the pending call */
	bool is_check;	       /* the next call isn't made to wait */
	bool reads_again;      /* as soon as the pending call has ended, which isn't made to wait */
	bool was_cut;	       /* the call before the pending one ended without an answer */
	int64_t read_began_ms; /* when the first page of the full read was requested */
	int64_t last_success_ms; /* when the last call or news succeeded; 0: none has */
	struct follow follow;
	int64_t last_read_ms; /* when the last full read was completed; 0: none was */
	uint32_t fails;
	int status;
	struct hdr_list headers;
	GByteArray *body;
};

static struct view_revision revision_of(const struct srv *s, int64_t number)
{
	return (struct view_revision){.epoch = s->view->epoch, .number = number};
}

static void pause_until(struct srv_feed *feed, int64_t due_ms)
{
	feed->state = FEED_PAUSED;
	feed->due_ms = due_ms;
}

static int64_t retry_delay_ms(const struct srv_feed *feed)
{
	int64_t first_ms = feed->s->view->complete ? RETRY_MS : FIRST_RETRY_MS;
	int64_t max_ms = feed->s->view->complete ? RETRY_MAX_MS : FIRST_RETRY_MAX_MS;

	return MIN(first_ms << MIN(feed->fails - 1, 4), max_ms);
}

static void fail(struct srv_feed *feed, const char *reason)
{
	struct srv *s = feed->s;
	int64_t now_ms = clock_now_ms();

	feed->was_cut = false;
	srv_count(s, SRV_SOURCE_FAILURES);
	if (feed->fails == 0 && feed->last_success_ms > 0)
		srv_origin_note_source_lost(s, now_ms);
	if (feed->fails++ == 0)
		log_warn("source_lost", "{s:s, s:s, s:I, s:I}", "address", s->set->source_address,
			 "reason", reason, "revision", (json_int_t)feed->revision, "age_ms",
			 (json_int_t)srv_feed_age_ms(feed, now_ms));
	view_set_source_down(s->view, true, now_ms);
	pause_until(feed, now_ms + retry_delay_ms(feed));
}

static void begin_full_read(struct srv_feed *feed, int64_t now_ms)
{
	feed->has_full_read = false;
	g_free(feed->page_start_key);
	feed->page_start_key = NULL;
	pause_until(feed, now_ms);
}

/* Logs that the source was restored, unless this is the first full read. */
static void log_restore(struct srv_feed *feed)
{
	const struct view_state *v = feed->s->view;

	if (feed->last_read_ms > 0 && feed->known.epoch < feed->epoch)
		log_warn("source_restored", "{s:I, s:I, s:I, s:I, s:i}", "epoch_before",
			 (json_int_t)feed->known.epoch, "revision_before",
			 (json_int_t)feed->known.number, "epoch", (json_int_t)feed->epoch,
			 "revision", (json_int_t)feed->first_revision, "doubted",
			 (int)view_count_doubted(v));
}

static void note_known(struct srv_feed *feed)
{
	feed->known = (struct view_revision){.epoch = feed->epoch, .number = feed->revision};
}

static void end_page(struct srv_feed *feed, struct adapter_feed_reply *reply, int64_t now_ms)
{
	if (!feed->page_start_key)
		feed->first_revision = reply->revision;
	g_free(feed->page_start_key);
	feed->page_start_key = NULL;
	if (reply->more && reply->last_key) {
		feed->page_start_key = g_strdup(reply->last_key);
		pause_until(feed, now_ms);
		return;
	}
	/* the pages can be of different revisions: watch for all changes since the first page */
	feed->revision = feed->first_revision;
	feed->has_full_read = true;
	view_end_read(feed->s->view, revision_of(feed->s, feed->first_revision), now_ms);
	srv_origin_note_read(feed->s, feed->read_began_ms, false, now_ms);
	log_restore(feed);
	feed->last_read_ms = now_ms;
	note_known(feed);
	pause_until(feed, now_ms);
}

/*
 * Decides by its epoch whether a reply may be applied. A reply of a higher epoch that isn't the
 * first page of a full read leads to one; a reply of a lower epoch is outdated.
 */
static bool accept_epoch(struct srv_feed *feed, const struct adapter_feed_reply *reply,
			 int64_t now_ms)
{
	struct view_state *v = feed->s->view;
	bool is_first_page = feed->state == FEED_READING && !feed->page_start_key;

	if (reply->epoch == 0) {
		if (!feed->epoch_unknown_logged)
			log_warn("source_epoch_unknown", "{s:s, s:I}", "address",
				 feed->s->set->source_address, "epoch", (json_int_t)v->epoch);
		feed->epoch_unknown_logged = true;
		return true;
	}
	if (reply->epoch < v->epoch) {
		fail(feed, "answer of an earlier epoch");
		return false;
	}
	view_raise_epoch(v, reply->epoch, reply->revision, now_ms);
	if (reply->epoch > feed->epoch && !is_first_page) {
		begin_full_read(feed, now_ms);
		return false;
	}
	feed->epoch = reply->epoch;
	return true;
}

/*
 * Readers that others follow pause for the shortest time, and not at all after a watch without
 * changes: so few of them cost little, and what they say has to be heard often.
 */
static int64_t watch_pause_ms(const struct srv_feed *feed, bool has_changes, int64_t now_ms)
{
	const struct gossip *fleet = feed->s->fleet;
	int64_t ms = (int64_t)WATCH_PAUSE_MS_PER_NODE * gossip_count_alive(fleet, now_ms);

	if (gossip_is_followed(fleet, now_ms))
		return has_changes ? WATCH_PAUSE_MIN_MS : 0;
	return CLAMP(ms, WATCH_PAUSE_MIN_MS, WATCH_PAUSE_MAX_MS);
}

static void note_success(struct srv_feed *feed, int64_t revision, int64_t now_ms)
{
	struct srv *s = feed->s;

	if (feed->fails > 0)
		log_info("source_back", "{s:s, s:i, s:I, s:I}", "address", s->set->source_address,
			 "fails", (int)feed->fails, "epoch", (json_int_t)s->view->epoch, "revision",
			 (json_int_t)revision);
	feed->fails = 0;
	feed->last_success_ms = now_ms;
	view_set_source_down(s->view, false, now_ms);
}

static void handle_reply(struct srv_feed *feed, struct adapter_feed_reply *reply)
{
	struct srv *s = feed->s;
	int64_t now_ms = clock_now_ms();
	bool changed;

	if (!accept_epoch(feed, reply, now_ms))
		return;
	note_success(feed, reply->revision, now_ms);
	if (feed->state == FEED_WATCHING && gossip_is_followed(s->fleet, now_ms))
		srv_follow_tell(s, srv_feed_revision(feed), MAX(feed->revision, reply->revision),
				reply->changes, now_ms);
	changed = srv_feed_apply(s, reply->changes, now_ms);
	if (feed->state == FEED_READING) {
		end_page(feed, reply, now_ms);
		changed = true;
	} else {
		feed->revision = MAX(feed->revision, reply->revision);
		srv_origin_note_read(s, feed->sent_ms, true, now_ms);
		note_known(feed);
		pause_until(feed, now_ms + watch_pause_ms(feed, reply->changes->len > 0, now_ms));
	}
	if (changed && feed->has_full_read)
		srv_chain_view_changed(s);
	srv_origin_decide_waiting(s);
}

bool srv_feed_follow(struct srv_feed *feed, const struct follow_news *news, GArray *changes)
{
	struct srv *s = feed->s;
	int64_t now_ms = clock_now_ms();
	bool changed;

	if (!feed->has_full_read)
		return true; /* its own full read will be newer */
	switch (follow_judge(&feed->follow, news, srv_feed_revision(feed), now_ms)) {
	case FOLLOW_KNOWN:
		return true;
	case FOLLOW_MISSED:
		return false;
	case FOLLOW_APPLY:
		break;
	}
	changed = srv_feed_apply(s, changes, now_ms);
	if (news->is_complete) {
		feed->revision = news->revision;
		note_success(feed, news->revision, now_ms);
		srv_origin_note_news(s, now_ms);
		note_known(feed);
	}
	if (changed)
		srv_chain_view_changed(s);
	return true;
}

static bool on_head(void *arg, const struct http_client_head *head)
{
	struct srv_feed *feed = arg;

	feed->status = head->status;
	hdr_clear(&feed->headers);
	for (uint32_t i = 0; i < head->headers.n; i++)
		hdr_add(&feed->headers, head->headers.at[i].name, head->headers.at[i].value);
	g_byte_array_set_size(feed->body, 0);
	return true;
}

static bool on_data(void *arg, const void *data, size_t len)
{
	struct srv_feed *feed = arg;

	g_byte_array_append(feed->body, data, (guint)len);
	return feed->body->len <= REPLY_BYTES_MAX;
}

static void send_call(struct srv_feed *feed, int64_t now_ms);

static const char *reason_of(enum http_client_result end)
{
	switch (end) {
	case HTTP_CLIENT_NOT_SENT:
		return "no connection";
	case HTTP_CLIENT_MALFORMED:
		return "malformed or too long answer";
	default:
		return "connection broken";
	}
}

/*
 * Handles an answer that can't be read. A watch would get it again: it may be too long because of
 * many large changes. So everything is read anew, in pages.
 */
static void handle_unreadable(struct srv_feed *feed, const char *reason)
{
	int64_t now_ms = clock_now_ms();

	if (feed->state != FEED_WATCHING) {
		fail(feed, reason);
		return;
	}
	log_warn("source_changes_unreadable", "{s:s, s:I, s:I, s:I}", "reason", reason, "epoch",
		 (json_int_t)feed->epoch, "revision", (json_int_t)feed->revision, "bytes",
		 (json_int_t)feed->body->len);
	begin_full_read(feed, now_ms);
	pause_until(feed, now_ms + RETRY_MS);
}

/* Asks again after a call that was cut. Returns false if the source has to count as lost. */
static bool ask_again(struct srv_feed *feed)
{
	int64_t now_ms = clock_now_ms();

	if (feed->was_cut || feed->fails > 0)
		return false;
	feed->was_cut = true;
	srv_count(feed->s, SRV_SOURCE_CUTS);
	pause_until(feed, now_ms);
	send_call(feed, now_ms);
	return true;
}

static void on_end(void *arg, enum http_client_result end)
{
	struct srv_feed *feed = arg;
	int64_t now_ms;
	const struct adapter_feed_answer answer = {
		.status = feed->status,
		.headers = &feed->headers,
		.body = (const char *)feed->body->data,
		.len = feed->body->len,
		.is_watch = feed->state == FEED_WATCHING,
	};
	struct adapter_feed_reply reply;

	feed->call = NULL;
	if (end == HTTP_CLIENT_BROKEN && ask_again(feed))
		return;
	feed->was_cut = false;
	if (end == HTTP_CLIENT_MALFORMED) {
		handle_unreadable(feed, reason_of(end));
		return;
	}
	if (end != HTTP_CLIENT_DONE) {
		fail(feed, reason_of(end));
		return;
	}
	switch (feed->s->adapter->feed->read_reply(&answer, &reply)) {
	case ADAPTER_FEED_OK:
		handle_reply(feed, &reply);
		break;
	case ADAPTER_FEED_HISTORY_LOST:
		log_warn("source_history_lost", "{s:I, s:I}", "epoch", (json_int_t)feed->epoch,
			 "revision", (json_int_t)feed->revision);
		begin_full_read(feed, clock_now_ms());
		break;
	case ADAPTER_FEED_REFUSED:
		fail(feed, "refused");
		break;
	case ADAPTER_FEED_MALFORMED:
		handle_unreadable(feed, "malformed answer");
		break;
	}
	adapter_feed_reply_clear(&reply);
	/* the next page of a full read, or the first watch after it */
	now_ms = clock_now_ms();
	if (feed->reads_again && feed->fails == 0)
		srv_feed_read_now(feed, now_ms);
	feed->reads_again = false;
	if (feed->state == FEED_PAUSED && now_ms >= feed->due_ms)
		send_call(feed, now_ms);
}

static const struct http_client_ops call_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void send_call(struct srv_feed *feed, int64_t now_ms)
{
	const struct adapter_feed_ops *ops = feed->s->adapter->feed;
	struct hdr_list headers = {0};
	char *target;

	feed->wait_ms = 0;
	if (feed->has_full_read) {
		feed->state = FEED_WATCHING;
		feed->wait_ms = feed->is_check || feed->was_cut || feed->fails > 0 ? CHECK_WAIT_MS
										   : WATCH_MS;
		feed->is_check = false;
		target = ops->watch_target(feed->revision, feed->wait_ms);
	} else {
		if (!feed->page_start_key) {
			view_begin_read(feed->s->view);
			feed->read_began_ms = now_ms;
		}
		feed->state = FEED_READING;
		target = ops->read_target(feed->page_start_key);
	}
	hdr_add(&headers, "Host", feed->s->set->source_address);
	const struct http_client_request request = {
		.method = "GET",
		.target = target,
		.headers = &headers,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	srv_count(feed->s, SRV_SOURCE_CALLS);
	feed->sent_ms = now_ms;
	feed->call = http_client_start(feed->origin, &request, &call_ops, feed);
	hdr_clear(&headers);
	g_free(target);
	if (!feed->call)
		fail(feed, "no socket");
}

bool srv_feed_read_now(struct srv_feed *feed, int64_t now_ms)
{
	if (!feed->has_full_read || feed->fails > 0)
		return false;
	if (feed->state == FEED_WATCHING && feed->wait_ms == CHECK_WAIT_MS) {
		feed->reads_again = true;
		return true;
	}
	http_client_cancel(feed->call);
	feed->is_check = true;
	send_call(feed, now_ms);
	return feed->fails == 0;
}

void srv_feed_tick(struct srv_feed *feed, int64_t now_ms)
{
	int64_t limit_ms = feed->was_cut ? CHECK_TIMEOUT_MS : feed->wait_ms + ANSWER_TIMEOUT_MS;

	if (feed->state == FEED_PAUSED) {
		if (now_ms >= feed->due_ms &&
		    !follow_is_led(&feed->follow, gossip_is_reader(feed->s->fleet, now_ms), now_ms))
			send_call(feed, now_ms);
		return;
	}
	if (now_ms - feed->sent_ms <= limit_ms)
		return;
	http_client_cancel(feed->call);
	feed->call = NULL;
	fail(feed, "no answer in time");
}

int64_t srv_feed_age_ms(const struct srv_feed *feed, int64_t now_ms)
{
	return feed->last_success_ms > 0 ? now_ms - feed->last_success_ms : -1;
}

bool srv_feed_is_unavailable(const struct srv_feed *feed)
{
	return feed->fails > 0 || feed->last_success_ms == 0;
}

struct view_revision srv_feed_revision(const struct srv_feed *feed)
{
	return (struct view_revision){.epoch = feed->epoch, .number = feed->revision};
}

struct srv_feed *srv_feed_new(struct srv *s)
{
	struct srv_feed *feed = g_new0(struct srv_feed, 1);

	feed->s = s;
	feed->origin = http_client_origin_new(&s->loop, s->set->source_address);
	feed->body = g_byte_array_new();
	return feed;
}

void srv_feed_free(struct srv_feed *feed)
{
	if (!feed)
		return;
	http_client_cancel(feed->call);
	http_client_origin_free(feed->origin);
	hdr_clear(&feed->headers);
	g_byte_array_unref(feed->body);
	g_free(feed->page_start_key);
	g_free(feed);
}
