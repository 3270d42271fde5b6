/* Limits of the node's listeners: those published, and those of its machine. */
#include "srv_int.h"

#include "base/counter.h"
#include "base/log.h"
#include "base/machine.h"

#define REFUSED_RETRY_MS                                                                           \
	400 /* as for a full upstream: another node can serve the request sooner                   \
	     */

static struct machine_share share_of(const struct srv *s)
{
	return machine_share(srvconf_number(s->set->memory_mb),
			     srvconf_number(s->set->max_descriptors));
}

void srv_limits_apply(struct srv *s)
{
	struct machine_share share = share_of(s);
	struct http_server *const others[] = {s->ready, s->lookup, s->admin, s->metrics};

	if (!s->budget)
		s->budget = http_budget_new(share.request_bytes);
	http_budget_set_max(s->budget, share.request_bytes);
	if (s->front) {
		http_server_set_budget(s->front, s->budget);
		http_server_set_max_connections(s->front, share.callers);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		if (!others[i])
			continue;
		http_server_set_budget(others[i], s->budget);
		http_server_set_max_connections(others[i], share.other_connections);
	}
}

void srv_limits_update(struct srv *s)
{
	const struct pub_limits *limits = s->view->doc ? &s->view->doc->limits : NULL;

	if (!limits || limits->max_body_bytes <= 0 || !s->front)
		return;
	http_server_set_limits(s->front, &(struct http_server_limits){
						 .max_header_bytes = limits->max_header_bytes,
						 .max_body_bytes = limits->max_body_bytes,
						 .header_timeout_ms = limits->header_timeout_ms,
						 .idle_timeout_ms = limits->idle_timeout_ms,
					 });
}

json_t *srv_limits_json(const struct srv *s)
{
	struct machine_share share = share_of(s);

	return json_pack("{s:I, s:I, s:i, s:i, s:i}", "request_bytes",
			 (json_int_t)http_budget_used_bytes(s->budget), "request_bytes_max",
			 (json_int_t)share.request_bytes, "callers",
			 s->front ? (int)http_server_connections(s->front) : 0, "callers_max",
			 (int)share.callers, "other_connections_max", (int)share.other_connections);
}

void srv_limits_note_refusal(void *arg, const struct http_server_refusal *refusal,
			     struct hdr_list *headers)
{
	static const struct {
		const char *name;
		enum counter_id counter;
	} reasons[HTTP_SERVER_REASONS] = {
		[HTTP_SERVER_REFUSED_BUDGET] = {"budget", COUNTER_REFUSED_BUDGET},
		[HTTP_SERVER_REFUSED_CONNECTIONS] = {"connections", COUNTER_REFUSED_CONNECTIONS},
		[HTTP_SERVER_REFUSED_STALLED] = {"stalled", COUNTER_REFUSED_STALLED},
		[HTTP_SERVER_REFUSED_TOO_LARGE] = {"too_large", COUNTER_REFUSED_TOO_LARGE},
	};
	struct srv *s = arg;

	counter_add(reasons[refusal->reason].counter, 1);
	if (refusal->status == 503)
		s->adapter->caller->retry_after(REFUSED_RETRY_MS, headers);
	log_info("caller_refused", "{s:s, s:i, s:I, s:I, s:I}", "reason",
		 reasons[refusal->reason].name, "status", refusal->status, "held_bytes",
		 (json_int_t)refusal->held_bytes, "age_ms", (json_int_t)refusal->age_ms,
		 "budget_used_bytes", (json_int_t)http_budget_used_bytes(s->budget));
}
