/*
 * Planned stop of a node: what it does now and what it waits for. A state machine without I/O; the
 * node feeds it what it sees and acts on the phase.
 */
#ifndef DECIDE_DRAIN_H
#define DECIDE_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum drain_phase_id {
	DRAIN_SERVING,	 /* no stop is planned */
	DRAIN_LEAVING,	 /* out of the address answers, serves those who hold an old one */
	DRAIN_FINISHING, /* refuses new work, waits for what runs */
	DRAIN_OFFERING, /* asks a successor whether it would own the tickets; nothing is released */
	DRAIN_RELEASING, /* owns no ticket any more, waits for the successor's word */
	DRAIN_SETTLING,	 /* waits for the last answers to leave */
	DRAIN_DONE,	 /* may exit */
};

struct drain_input {
	int64_t now_ms;
	int64_t linger_ms; /* how long callers may hold an address answer */
	uint32_t requests; /* that run or whose answer is still on its way */
	bool has_successor;
	bool offer_taken;
	bool released; /* the successor said that it owns the tickets */
	bool hurry;
};

struct drain {
	enum drain_phase_id phase;
	int64_t since_ms; /* start of the phase */
	bool offer_over;  /* no successor was found in time */
};

/* Begins a stop; nothing happens when one has begun. */
void drain_begin(struct drain *drain, int64_t now_ms);

/* Takes at most one step; returns the phase. */
enum drain_phase_id drain_step(struct drain *drain, const struct drain_input *in);

const char *drain_phase_name(enum drain_phase_id phase);

/* What the phase waits for, for the dump. */
const char *drain_waits_for(enum drain_phase_id phase);

#ifdef __cplusplus
}
#endif

#endif
