/* Process-wide counters, exported in the Prometheus text format. */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* X(identifier, exported name, help) */
#define COUNTER_LIST(X)                                                                            \
	X(COUNTER_REQUESTS, "requests_total", "requests accepted from callers")                    \
	X(COUNTER_COMPLETE, "complete_total", "requests answered with outcome complete")           \
	X(COUNTER_NOT_RUN, "not_run_total", "requests answered with outcome not_run")              \
	X(COUNTER_UNKNOWN, "unknown_total", "requests answered with outcome unknown")              \
	X(COUNTER_REFUSED_BUDGET, "refused_budget_total",                                          \
	  "requests refused as the memory for requests was used up")                               \
	X(COUNTER_REFUSED_CONNECTIONS, "refused_connections_total",                                \
	  "connections closed and requests refused as there were too many connections")            \
	X(COUNTER_REFUSED_STALLED, "refused_stalled_total",                                        \
	  "requests refused as they didn't arrive in time")                                        \
	X(COUNTER_REFUSED_TOO_LARGE, "refused_too_large_total",                                    \
	  "requests refused as their body exceeds the limit")                                      \
	X(COUNTER_SENDS, "upstream_sends_total", "attempts sent to upstreams")                     \
	X(COUNTER_RETRIES, "upstream_retries_total", "attempts that followed a failed attempt")    \
	X(COUNTER_HEDGES, "upstream_hedges_total", "hedged attempts")                              \
	X(COUNTER_LATE_RESULTS, "late_results_total",                                              \
	  "results dropped because they were late or duplicate")                                   \
	X(COUNTER_RESUMED, "carried_on_total",                                                     \
	  "repeated requests resumed from a stored stage result")                                  \
	X(COUNTER_CROSS_BYTES, "cross_region_bytes_total",                                         \
	  "body bytes exchanged with upstreams in other regions")                                  \
	X(COUNTER_PEER_TX_BYTES, "peer_sent_bytes_total", "bytes sent to other nodes")             \
	X(COUNTER_PEER_RX_BYTES, "peer_received_bytes_total", "bytes received from other nodes")   \
	X(COUNTER_PEER_EXPIRED, "peer_expired_total",                                              \
	  "messages from other nodes dropped because they were too old")                           \
	X(COUNTER_CONFIG_READS, "config_reads_total", "calls to the configuration service")        \
	X(COUNTER_CONFIG_APPLIED, "config_applied_total", "configuration sections applied")        \
	X(COUNTER_CONFIG_REFUSED, "config_refused_total", "configuration sections refused")        \
	X(COUNTER_CONFIG_STALE, "config_stale_total",                                              \
	  "configuration sections read with a revision older than the applied one")                \
	X(COUNTER_CONFIG_CONFLICTS, "config_conflicts_total",                                      \
	  "configuration sections with the applied revision but different content")                \
	X(COUNTER_TICKETS_ISSUED, "tickets_issued_total", "tickets issued")                        \
	X(COUNTER_FORWARDS, "forwards_total", "requests forwarded to the owner of their ticket")   \
	X(COUNTER_HANDED_OFF, "handed_over_total",                                                 \
	  "stages handed off to a node that holds a slot")                                         \
	X(COUNTER_ORDERS, "engine_orders_total", "orders sent to engines")                         \
	X(COUNTER_CLOCK_GAPS, "clock_gaps_total", "detected pauses of the process")

#define COUNTER_ENUM(id, name, help) id,
enum counter_id { COUNTER_LIST(COUNTER_ENUM) COUNTER_COUNT };
#undef COUNTER_ENUM

/* Thread-safe. */
void counter_add(enum counter_id id, uint64_t n);
uint64_t counter_get(enum counter_id id);
const char *counter_name(enum counter_id id);

/* Appends every counter with its HELP and TYPE lines. */
void counter_write_text(GString *out);

#ifdef __cplusplus
}
#endif

#endif
