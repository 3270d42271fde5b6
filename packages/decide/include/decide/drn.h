/*
 * Planned stop of a node: what it does now and what it waits for. A state machine without I/O; the
 * node feeds it what it sees and acts on the phase.
 */
#ifndef DECIDE_DRN_H
#define DECIDE_DRN_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

enum drn_phase {
	DRN_SERVING,   /* no stop is planned */
	DRN_LEAVING,   /* out of the address answers, serves those who hold an old one */
	DRN_FINISHING, /* refuses new work, waits for what runs */
	DRN_OFFERING,  /* asks a successor whether it would own the tickets; nothing is released */
	DRN_RELEASING, /* owns no ticket any more, waits for the successor's word */
	DRN_SETTLING,  /* waits for the last answers to leave */
	DRN_DONE,      /* may exit */
};

struct drn_input {
	int64_t now_ms;
	int64_t linger_ms; /* how long callers may hold an address answer */
	uint32_t requests; /* that run or whose answer is still on its way */
	bool has_successor;
	bool offer_taken;
	bool released; /* the successor said that it owns the tickets */
	bool hurry;
};

struct drn {
	enum drn_phase phase;
	int64_t since_ms; /* start of the phase */
	bool offer_over;  /* no successor was found in time */
};

/* Begins a stop; nothing happens when one has begun. */
void drn_begin(struct drn *drn, int64_t now_ms);

/* Takes at most one step; returns the phase. */
enum drn_phase drn_step(struct drn *drn, const struct drn_input *in);

const char *drn_phase_name(enum drn_phase phase);

/* What the phase waits for, for the dump. */
const char *drn_waits_for(enum drn_phase phase);

#ifdef __cplusplus
}
#endif

#endif
