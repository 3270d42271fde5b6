/*
 * Callers of the soak that take their streams up at other nodes, upstreams of two versions of their
 * software, and the rules that then hold. The functions are thread-safe, but for takeup_start().
 */
#ifndef TESTS_TAKEUP_H
#define TESTS_TAKEUP_H

#include "cluster.h"

#include "base/prng.h"

#define TAKEUP_CONTACT_MS 4000 /* a node is in touch if this long undisturbed */

/* Adds upstreams of a second version, not yet published. */
void takeup_start(struct cluster *c);

/* Plays one stream: its caller may leave, and takes it up where it was left or broken off. */
void takeup_play(struct prng *prng);

/* Changes which versions serve, or the version of one upstream. The source must answer. */
void takeup_change_versions(struct prng *prng);

/* Has two sound upstreams of either version serve. */
void takeup_restore_versions(void);

/* Note disturbances and their ends: of a node, of the source, of an upstream. */
void takeup_note_node(uint32_t node, bool is_running);
void takeup_note_source(bool answers);
void takeup_note_fault(const char *id, bool is_faulty);

/* Returns the number of rules broken so far, and prints what broke them. */
uint32_t takeup_check(void);

#endif
