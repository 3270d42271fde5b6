/*
 * Checks that an upstream still runs as its entry says before a stream is resumed there: one that
 * has started again with another version shows its old entry for up to 3 s. The proof is a
 * connection that has been open since before the entry was confirmed, or the upstream's report.
 */
#include "srv_req_int.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

#define CHECK_TIMEOUT_MS 150
/* Reports are costly to upstreams, so resumptions within this time share one. */
#define CHECK_INTERVAL_MS 200
#define FAILED_CHECKS_MAX 2 /* of one request; it waits for 300 ms at most */
#define REPORT_BYTES_MAX (1024 * 1024)
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define UNCONFIRMED_REASON "no upstream of the stream's version has confirmed that it still runs"

enum verdict {
	UNCHECKED,   /* nothing to compare with; the upstream counts as running */
	UNSUPPORTED, /* the same: the upstream gives no report */
	CONNECTED,   /* proven by an open connection */
	REPORTED,    /* proven by a report */
	UNKNOWN,     /* a report has to be requested */
	ASKED,	     /* a report is on the way */
	FAILED,	     /* not a candidate until its entry is written again */
};

const char *srv_run_check_proof_name(const struct srv_req *r)
{
	static const char *const names[] = {
		[UNCHECKED] = "",	    [UNSUPPORTED] = "unsupported",
		[CONNECTED] = "connection", [REPORTED] = "report",
		[UNKNOWN] = "none",	    [ASKED] = "none",
		[FAILED] = "none",
	};

	return names[r->origin.proof];
}

/* Returns whether the newest report was compared with the entry of the run that is published now.
 */
static bool is_of_run(const struct srv_run_check *check, const struct view_upstream *entry)
{
	return check->sent_ms > 0 && check->born_ms == entry->doc->born_ms;
}

static enum verdict judge_report(const struct srv_upstream *u, const struct view_upstream *entry,
				 int64_t open_since_ms, int64_t now_ms)
{
	const struct srv_run_check *check = &u->check;
	bool is_recent = check->sent_ms > 0 && now_ms - check->sent_ms < CHECK_INTERVAL_MS;

	if (check->call)
		return ASKED;
	if (is_of_run(check, entry) && check->result == SRV_RUN_CONFIRMED &&
	    (open_since_ms <= check->ended_ms || (is_recent && !check->has_connection)))
		return REPORTED;
	if (is_of_run(check, entry) && check->result == SRV_RUN_UNSUPPORTED)
		return UNSUPPORTED;
	if (check->result == SRV_RUN_FAILED && view_compare(check->revision, entry->revision) == 0)
		return FAILED;
	return is_recent ? FAILED : UNKNOWN;
}

/* age_ms: since when the upstream is known to have run; -1: it isn't. */
static enum verdict judge(const struct srv_upstream *u, int64_t now_ms, int64_t *age_ms)
{
	const struct view_upstream *entry = g_hash_table_lookup(u->srv->view->upstreams, u->id);
	int64_t open_since_ms;
	enum verdict verdict;

	*age_ms = -1;
	if (!srv_has_policy(u->srv, POLICY_RESUMPTION_CHECK) || !entry ||
	    entry->doc->born_ms == 0 || !entry->doc->version || !*entry->doc->version)
		return UNCHECKED;
	/* of an explanation: it was never called from here */
	open_since_ms = u->origin ? http_client_open_since_ms(u->origin) : INT64_MAX;
	if (open_since_ms <= entry->confirmed_ms - STREAM_ORIGIN_DOUBT_MS) {
		*age_ms = now_ms - entry->confirmed_ms;
		return CONNECTED;
	}
	verdict = judge_report(u, entry, open_since_ms, now_ms);
	if (verdict == REPORTED)
		*age_ms = now_ms - u->check.ended_ms;
	return verdict;
}

bool srv_run_check_has_failed(const struct srv_upstream *u, int64_t now_ms)
{
	int64_t age_ms;

	return judge(u, now_ms, &age_ms) == FAILED;
}

const char *srv_run_check_confirmed(const struct srv_req *r, int64_t now_ms)
{
	const struct srv_upstream *u = r->origin.checked;
	int64_t age_ms;

	return u && judge(u, now_ms, &age_ms) <= REPORTED ? u->id : NULL;
}

void srv_run_check_stop_waiting(struct srv_req *r)
{
	if (r->origin.is_checking)
		g_queue_remove(&r->s->check_waiters, r);
	r->origin.is_checking = false;
}

void srv_run_check_clear(struct srv_req *r)
{
	srv_run_check_stop_waiting(r);
	if (r->origin.checked)
		srv_upstream_unref(r->origin.checked);
	r->origin.checked = NULL;
}

/*
 * Sends a request whose report has come or failed; may free it. A hedge is made only if the silence
 * that it was for goes on.
 */
static void go_on(struct srv_req *r)
{
	const struct srv_attempt *silent = srv_req_last_active(r);

	if (!silent)
		srv_req_send(r);
	else if (silent->last_data_ms < r->origin.checked->check.sent_ms)
		srv_silence_handle(r, clock_now_ms());
	else
		srv_req_arm_timer(r);
}

/* Continues the requests that wait for the upstream's report. */
static void wake(struct srv_upstream *u)
{
	GList *waiters = g_list_copy(u->srv->check_waiters.head);

	srv_upstream_ref(u);
	for (const GList *at = waiters; at; at = at->next) {
		struct srv_req *r = at->data;
		/* an earlier one may have been freed, but frees no other request */
		if (r->origin.checked != u)
			continue;
		srv_run_check_stop_waiting(r);
		r->origin.n_failed_checks += u->check.result == SRV_RUN_FAILED;
		go_on(r);
	}
	g_list_free(waiters);
	srv_upstream_unref(u);
}

static void set_result(struct srv_upstream *u, enum srv_run_result result, int64_t born_ms,
		       const char *reason)
{
	struct srv_run_check *check = &u->check;

	check->call = NULL;
	check->result = result;
	check->ended_ms = clock_now_ms();
	if (result == SRV_RUN_UNSUPPORTED)
		srv_count(u->srv, SRV_CHECKS_UNSUPPORTED);
	if (result != SRV_RUN_FAILED)
		return;
	srv_count(u->srv, SRV_CHECKS_FAILED);
	log_info("upstream_unconfirmed", "{s:s, s:s, s:I, s:I, s:I}", "upstream", u->id, "reason",
		 reason, "born_ms", (json_int_t)check->born_ms, "reported_born_ms",
		 (json_int_t)born_ms, "took_ms", (json_int_t)(check->ended_ms - check->sent_ms));
}

static bool on_head(void *arg, const struct http_client_head *head)
{
	struct srv_upstream *u = arg;

	u->check.status = head->status;
	return true;
}

static bool on_data(void *arg, const void *data, size_t len)
{
	struct srv_upstream *u = arg;

	g_string_append_len(u->check.body, data, (gssize)len);
	return u->check.body->len <= REPORT_BYTES_MAX;
}

static void on_end(void *arg, enum http_client_result end)
{
	struct srv_upstream *u = arg;
	struct srv_run_check *check = &u->check;
	int64_t born_ms = 0;

	if (end != HTTP_CLIENT_DONE)
		set_result(u, SRV_RUN_FAILED, 0, "no answer");
	else if (check->status == STATUS_NOT_FOUND)
		set_result(u, SRV_RUN_UNSUPPORTED, 0, "");
	else if (check->status != STATUS_OK ||
		 !u->srv->adapter->upstream->report_reply(check->body->str, check->body->len,
							  &born_ms))
		set_result(u, SRV_RUN_FAILED, 0, "invalid answer");
	else if (born_ms != check->born_ms)
		set_result(u, SRV_RUN_FAILED, born_ms, "started again");
	else
		set_result(u, SRV_RUN_CONFIRMED, born_ms, "");
	check->has_connection = http_client_open_since_ms(u->origin) <= check->ended_ms;
	wake(u);
}

static const struct http_client_ops check_ops = {
	.on_head = on_head,
	.on_data = on_data,
	.on_end = on_end,
};

static void request_report(struct srv_upstream *u, int64_t now_ms)
{
	const struct view_upstream *entry = g_hash_table_lookup(u->srv->view->upstreams, u->id);
	struct srv_run_check *check = &u->check;
	struct hdr_list headers = {0};

	hdr_add(&headers, "Host", u->address);
	const struct http_client_request request = {
		.method = "GET",
		.target = u->srv->adapter->upstream->report_target,
		.headers = &headers,
		.connect_timeout_ms = CHECK_TIMEOUT_MS,
	};
	if (!check->body)
		check->body = g_string_new(NULL);
	g_string_truncate(check->body, 0);
	check->sent_ms = now_ms;
	check->born_ms = entry->doc->born_ms;
	check->revision = entry->revision;
	srv_count(u->srv, SRV_CHECKS);
	/* without a connection the wait ends by its time */
	check->call = http_client_start(u->origin, &request, &check_ops, u);
	hdr_clear(&headers);
}

int64_t srv_run_check_until_ms(const struct srv_req *r)
{
	return r->origin.is_checking ? r->origin.checked->check.sent_ms + CHECK_TIMEOUT_MS
				     : INT64_MAX;
}

void srv_run_check_expire(struct srv_req *r)
{
	struct srv_upstream *u = r->origin.checked;

	http_client_cancel(u->check.call);
	set_result(u, SRV_RUN_FAILED, 0, "no answer in time");
	wake(u);
}

void srv_run_check_free(struct srv_upstream *u)
{
	http_client_cancel(u->check.call);
	if (u->check.body)
		g_string_free(u->check.body, TRUE);
}

void srv_run_check_end_unconfirmed(struct srv_req *r)
{
	srv_count(r->s, SRV_RESUMPTIONS_UNCONFIRMED);
	r->origin.proof = FAILED;
	if (r->response_started || r->runs > 0)
		srv_req_fail(r, 502, UNCONFIRMED_REASON);
	else
		srv_req_refuse(r, SRV_VERSION_RETRY_MS, UNCONFIRMED_REASON);
}

bool srv_run_check_wait(struct srv_req *r, struct srv_upstream *u, int64_t now_ms)
{
	enum verdict verdict;

	if (!r->origin.version)
		return false;
	verdict = judge(u, now_ms, &r->origin.proof_age_ms);
	r->origin.proof = verdict;
	if (verdict <= REPORTED)
		return false;
	if (r->origin.n_failed_checks >= FAILED_CHECKS_MAX) {
		if (srv_req_count_active(r) == 0)
			srv_run_check_end_unconfirmed(r);
		return true;
	}
	/* an unanswered report whose requests have all ended meanwhile */
	if (verdict == ASKED && now_ms - u->check.sent_ms >= CHECK_TIMEOUT_MS) {
		http_client_cancel(u->check.call);
		verdict = UNKNOWN;
	}
	if (verdict == UNKNOWN)
		request_report(u, now_ms);
	srv_run_check_clear(r);
	srv_upstream_ref(u);
	r->origin.checked = u;
	r->origin.is_checking = true;
	g_queue_push_tail(&r->s->check_waiters, r);
	srv_req_arm_timer(r);
	return true;
}
