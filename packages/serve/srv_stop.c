/*
 * Graceful shutdown. The node serves until callers have dropped its address, answers whatever is
 * left in time for the answers to be written, and leaves before its grace period ends.
 */
#include "srv_int.h"

#include "base/clock.h"
#include "base/log.h"

#define MS_PER_S 1000.0
/*
 * Callers keep the node's address for the TTL of a lookup, and other nodes list it until one or two
 * gossip rounds have passed.
 */
#define SERVE_MS 3300
/* Later streams are refused: a long one would be cut, and callers have had other addresses by now.
 */
#define ADMIT_STREAMS_MS 3000
/* Once this long has passed since the stop signal, idle connections are closed. */
#define DRAIN_MS 2800
/* The node leaves this long before stop_grace_s has passed. */
#define LEAVE_MARGIN_MS 500
/* Time to write the last answers before the node leaves. */
#define FLUSH_MS 200
/* Time that a stream is given to complete; with less, it is left to another node. */
#define STREAM_MS 2000

void srv_stop_begin(struct srv *s, int signal, int64_t now_ms)
{
	int64_t grace_ms = (int64_t)(srvconf_number(s->set->stop_grace_s) * MS_PER_S);

	if (s->stop_began_ms > 0) {
		log_info("stop_hurried", "{s:i, s:i}", "signal", signal, "requests",
			 (int)s->requests.length);
		s->stop_by_ms = MIN(s->stop_by_ms, now_ms);
	} else {
		s->stop_began_ms = now_ms;
		s->stop_by_ms = now_ms + MAX(grace_ms - LEAVE_MARGIN_MS - FLUSH_MS, 0);
		log_info("stopping", "{s:i, s:i, s:i}", "signal", signal, "requests",
			 (int)s->requests.length, "chains", (int)chain_count_jobs(s->chains));
		if (s->front)
			http_server_announce_close(s->front);
	}
	srv_req_bound_all(s);
}

bool srv_stop_admits(const struct srv *s, bool is_stream, int64_t now_ms)
{
	return !is_stream || s->stop_began_ms == 0 || now_ms - s->stop_began_ms < ADMIT_STREAMS_MS;
}

int64_t srv_stop_send_by_ms(const struct srv *s, bool is_stream)
{
	return is_stream && s->stop_began_ms > 0 ? s->stop_by_ms - STREAM_MS : s->stop_by_ms;
}

static void leave(struct srv *s, uint32_t connections, uint32_t chains, int64_t now_ms)
{
	uint64_t late = s->is_front_closed ? s->counters[SRV_REQUESTS] - s->requests_at_close : 0;

	log_info("stopping_ends", "{s:I, s:i, s:i, s:i, s:I}", "after_ms",
		 (json_int_t)(now_ms - s->stop_began_ms), "cut", (int)connections, "arriving",
		 s->front ? (int)http_server_arriving_connections(s->front) : 0, "chains",
		 (int)chains, "read_after_close", (json_int_t)late);
	s->stopped = true;
	uv_stop(&s->loop);
}

/* Whether nothing is left but requests that are yet to come in. */
static bool is_served(const struct srv *s, int64_t now_ms)
{
	return now_ms >= s->stop_by_ms ||
	       (now_ms >= s->stop_began_ms + SERVE_MS && chain_count_jobs(s->chains) == 0 &&
		http_server_unfinished_connections(s->front) ==
			http_server_arriving_connections(s->front));
}

static void end_arrivals(struct srv *s, int64_t now_ms)
{
	if (now_ms - s->stop_began_ms >= DRAIN_MS)
		http_server_drain(s->front);
	if (!s->is_front_closed && is_served(s, now_ms)) {
		s->is_front_closed = true;
		s->requests_at_close = s->counters[SRV_REQUESTS];
		http_server_stop_listening(s->front);
	}
	if (now_ms >= s->stop_by_ms)
		http_server_reject_arriving(s->front);
}

void srv_stop_tick(struct srv *s, int64_t now_ms)
{
	uint32_t connections;
	uint32_t chains;

	if (s->stop_began_ms == 0)
		return;
	if (s->front)
		end_arrivals(s, now_ms);
	connections = s->front ? http_server_unfinished_connections(s->front) : 0;
	chains = chain_count_jobs(s->chains);
	if (now_ms >= s->stop_by_ms + FLUSH_MS ||
	    (connections + chains == 0 &&
	     now_ms >= MIN(s->stop_began_ms + SERVE_MS, s->stop_by_ms)))
		leave(s, connections, chains, now_ms);
}
