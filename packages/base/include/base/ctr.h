/* Counters of a process, kept in one table and written in the usual text format. */
#ifndef BASE_CTR_H
#define BASE_CTR_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* X(identifier, exported name, help) */
#define CTR_LIST(X)                                                                                \
	X(CTR_REQUESTS, "requests_total", "requests accepted from callers")                        \
	X(CTR_COMPLETE, "complete_total", "requests answered with outcome complete")               \
	X(CTR_NOT_RUN, "not_run_total", "requests answered with outcome not_run")                  \
	X(CTR_UNKNOWN, "unknown_total", "requests answered with outcome unknown")                  \
	X(CTR_SENDS, "upstream_sends_total", "attempts sent to upstreams")                         \
	X(CTR_RETRIES, "upstream_retries_total", "attempts after a failed one")                    \
	X(CTR_HEDGES, "upstream_hedges_total", "hedged attempts")                                  \
	X(CTR_LATE_RESULTS, "late_results_total", "results dropped as late or second")             \
	X(CTR_CARRIED_ON, "carried_on_total", "repeats that went on from a stored stage result")   \
	X(CTR_CROSS_BYTES, "cross_region_bytes_total",                                             \
	  "bytes of bodies to and from upstreams of other regions")                                \
	X(CTR_PEER_TX_BYTES, "peer_sent_bytes_total", "bytes sent to other nodes")                 \
	X(CTR_PEER_RX_BYTES, "peer_received_bytes_total", "bytes received from other nodes")       \
	X(CTR_PEER_EXPIRED, "peer_expired_total", "messages from nodes dropped as too old")        \
	X(CTR_CONFIG_READS, "config_reads_total", "calls to the configuration service")            \
	X(CTR_CONFIG_APPLIED, "config_applied_total", "configuration sections put in force")       \
	X(CTR_CONFIG_REFUSED, "config_refused_total", "configuration sections refused")            \
	X(CTR_CONFIG_STALE, "config_stale_total",                                                  \
	  "sections read with a revision below that in force")                                     \
	X(CTR_CONFIG_CONFLICTS, "config_conflicts_total", "equal revisions with unequal content")  \
	X(CTR_TICKETS_ISSUED, "tickets_issued_total", "tickets issued")                            \
	X(CTR_FORWARDS, "forwards_total", "requests forwarded to the owner of their ticket")       \
	X(CTR_HANDED, "handed_over_total", "stages handed to a node that holds a slot")            \
	X(CTR_ORDERS, "engine_orders_total", "orders given to engines")                            \
	X(CTR_CLOCK_GAPS, "clock_gaps_total", "pauses of the process that were noticed")

#define CTR_ENUM(id, name, help) id,
enum ctr_id { CTR_LIST(CTR_ENUM) CTR_COUNT };
#undef CTR_ENUM

/* Safe from any thread. */
void ctr_add(enum ctr_id id, uint64_t n);
uint64_t ctr_get(enum ctr_id id);
const char *ctr_name(enum ctr_id id);

/* Appends every counter with its help and type lines. */
void ctr_write_text(GString *out);

#ifdef __cplusplus
}
#endif

#endif
