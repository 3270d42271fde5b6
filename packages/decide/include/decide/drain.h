/*
 * Planned stop of a node as a state machine without I/O: the caller supplies the inputs and acts on
 * the phase.
 */
#ifndef DECIDE_DRAIN_H
#define DECIDE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum drain_phase_id {
	DRAIN_SERVING,	 /* no stop requested */
	DRAIN_LEAVING,	 /* no longer advertised; serves callers with a cached address */
	DRAIN_FINISHING, /* refuses new work, waits for running requests */
	DRAIN_OFFERING,	 /* offers the tickets to a successor; nothing is released yet */
	DRAIN_RELEASING, /* tickets released; waits for the successor's acknowledgement */
	DRAIN_SETTLING,	 /* waits until the last responses are sent */
	DRAIN_DONE,	 /* the process may exit */
};

struct drain_input {
	int64_t now_ms;
	int64_t linger_ms; /* duration of DRAIN_LEAVING: how long callers may cache an address */
	uint32_t requests; /* running, or with a response not fully sent */
	bool has_successor;
	bool offer_taken; /* a successor accepted the offer */
	bool released;	  /* the successor acknowledged that it owns the tickets */
	bool hurry;	  /* skips the waits for cached addresses, requests and responses */
};

struct drain {
	enum drain_phase_id phase;
	int64_t since_ms;  /* start of the phase */
	bool offer_failed; /* the offer ended without a successor */
};

/* Begins a stop; no effect when one has begun already. */
void drain_begin(struct drain *drain, int64_t now_ms);

/* Advances by at most one phase; returns the phase. */
enum drain_phase_id drain_step(struct drain *drain, const struct drain_input *in);

const char *drain_phase_name(enum drain_phase_id phase);

/* What the phase waits for, as text for logs and the dump. */
const char *drain_waits_for(enum drain_phase_id phase);

#ifdef __cplusplus
}
#endif

#endif
