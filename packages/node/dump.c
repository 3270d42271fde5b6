/* State dump for operators. */
#include "base/clock.h"
#include "base/counter.h"
#include "decide/eligible.h"
#include "node/fwd.h"
#include "node/node.h"
#include "node/release.h"

static json_t *dump_upstream(const struct bb *bb, const struct bb_upstream *up, int64_t now_ms)
{
	return json_pack("{s:s, s:s, s:s, s:i, s:i, s:b, s:i, s:i, s:I}", "name", up->name,
			 "service", up->service->name, "eligible",
			 eligible_reason_name(eligible_check(bb, up, now_ms)), "in_flight",
			 up->in_flight, "window", up->window, "warm", up->report_warm, "running",
			 up->report_running, "queued", up->report_queued, "latency_us",
			 (json_int_t)up->latency_us);
}

static json_t *dump_nodes(const struct bb *bb)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, bb->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bb_node *node = value;
		json_array_append_new(list,
				      json_pack("{s:s, s:s, s:b, s:b, s:I}", "vm", node->vm,
						"data_centre", node->data_centre, "listed",
						node->in_list, "leaving", node->leaving,
						"heard_at_ms", (json_int_t)node->last_seen_ms));
	}
	return list;
}

static json_t *dump_services(const struct bb *bb)
{
	json_t *list = json_array();

	for (guint i = 0; i < bb->services->len; i++) {
		const struct bb_service *service = g_ptr_array_index(bb->services, i);
		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i, s:i, s:I, s:I}", "name", service->name,
				  "capacity", service->capacity, "in_flight", service->in_flight,
				  "waiting", g_sequence_get_length(service->waiting), "latency_us",
				  (json_int_t)service->latency_us, "p95_us",
				  (json_int_t)quantile_get(&service->latencies, 95)));
	}
	return list;
}

static json_t *dump_counters(void)
{
	json_t *json = json_object();

	for (int i = 0; i < COUNTER_COUNT; i++)
		json_object_set_new(json, counter_name(i),
				    json_integer((json_int_t)counter_get(i)));
	return json;
}

static json_t *dump_revisions(const struct bb *bb)
{
	json_t *json = json_object();

	for (int i = 0; bb->cfg && i < CFG_SECTIONS; i++)
		json_object_set_new(json, cfg_section_name(i),
				    json_integer(cfg_revision(bb->cfg, i)));
	return json;
}

static uint64_t request_bytes(struct httpreq *httpreq)
{
	uint64_t bytes;

	pthread_mutex_lock(&httpreq->lock);
	bytes = httpreq->body->len;
	for (guint i = 0; i < httpreq->attempts->len; i++)
		bytes += ((struct httpreq_attempt *)g_ptr_array_index(httpreq->attempts, i))
				 ->out->len;
	pthread_mutex_unlock(&httpreq->lock);
	return bytes;
}

/* Total bytes of request bodies and buffered answers of open requests. */
static uint64_t held_bytes(struct node_server *n)
{
	uint64_t bytes = 0;
	GHashTableIter iter;
	gpointer httpreq;

	pthread_mutex_lock(&n->table_lock);
	g_hash_table_iter_init(&iter, n->reqs);
	while (g_hash_table_iter_next(&iter, NULL, &httpreq))
		bytes += request_bytes(httpreq);
	pthread_mutex_unlock(&n->table_lock);
	return bytes;
}

static json_t *dump_decisions(struct node_server *n)
{
	const struct bb *bb = &n->core_state->bb;
	json_t *upstreams = json_array();
	int64_t now_ms = clock_now_ms();

	for (guint i = 0; i < bb->upstreams->len; i++)
		json_array_append_new(
			upstreams, dump_upstream(bb, g_ptr_array_index(bb->upstreams, i), now_ms));
	return json_pack("{s:b, s:b, s:I, s:I, s:i, s:i, s:o, s:o, s:o, s:o}", "ready",
			 core_is_ready(n->core_state), "draining", bb->draining, "list_age_ms",
			 (json_int_t)(bb->list ? now_ms - bb->list_at_ms : -1), "list_version",
			 (json_int_t)(bb->list ? bb->list->version : 0), "requests",
			 (int)g_hash_table_size(n->core_state->reqs), "tickets",
			 (int)ticket_count(n->core_state->tickets), "revisions", dump_revisions(bb),
			 "nodes", dump_nodes(bb), "services", dump_services(bb), "upstreams",
			 upstreams);
}

json_t *dump_state(struct node_server *n)
{
	char incarnation[24];
	json_t *decisions;

	g_snprintf(incarnation, sizeof(incarnation), "%" G_GINT64_MODIFIER "x", n->incarnation);
	pthread_mutex_lock(&n->lock);
	decisions = dump_decisions(n);
	pthread_mutex_unlock(&n->lock);
	return json_pack("{s:s, s:s, s:s, s:s, s:i, s:I, s:i, s:o, s:o, s:o, s:o}", "vm",
			 n->set->vm, "data_centre", n->set->data_centre, "incarnation", incarnation,
			 "version", CS_VERSION, "open_requests", (int)node_request_count(n),
			 "held_bytes", (json_int_t)held_bytes(n), "forwarded",
			 (int)fwd_pending(n->fwd), "drain", release_dump(n->releaser), "decisions",
			 decisions, "counters", dump_counters(), "config", confsync_dump(n));
}
