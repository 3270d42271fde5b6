/* Chain functions shared by the srv_chain files. */
#ifndef SERVE_SRV_CHAIN_INT_H
#define SERVE_SRV_CHAIN_INT_H

#include "srv_int.h"

struct srv_chain_request;

/* A chain encoded for a peer message; borrows from the chain_job_spec. */
struct srv_chain_wire {
	Peer__ChainAsk ask;
	Peer__ChainStage stages[PUB_STAGES_MAX];
	Peer__ChainStage *list[PUB_STAGES_MAX];
	Peer__ChainDone *done;
	Peer__ChainDone **done_list;
};

/* srv_chain_wire.c: encoding, to be released with srv_chain_wire_clear(), and decoding. */
void srv_chain_encode_results(struct srv_chain_wire *w, const struct chain_stored_result *done,
			      uint32_t n);
void srv_chain_encode(struct srv_chain_wire *w, const struct chain_job_spec *doc,
		      const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void srv_chain_wire_clear(struct srv_chain_wire *w);

/* The job borrows from the message, but the regions array has to be freed with g_free(). */
void srv_chain_decode(const Peer__ChainAsk *wire, const char *asker,
		      struct chain_stage_spec *stages, struct chain_job_spec *doc, int64_t now_ms);

/* Borrows its strings; free the array with g_free(). */
struct chain_stored_result *srv_chain_decode_results(Peer__ChainDone *const *wire, size_t n);

/* srv_chain_client.c */
void srv_chain_send_end(struct srv *s, const char *owner, uint64_t id);
void srv_chain_handle_end(struct srv *s, const Peer__ChainEnd *end);

/* Delivers the owner's result of a chain to the request; a refusal also ends the chain. */
void srv_chain_deliver(struct srv *s, uint64_t id, const char *from,
		       const struct srv_chain_result *result);

/*
 * Records that a node has confirmed owning a chain; moved: it took the chain over from another
 * owner. False when the chain has already ended here.
 */
bool srv_chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved);

/* Records that the owner has handed a chain off to a node that has not confirmed it yet. */
void srv_chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address);
void srv_chain_save_progress(struct srv *s, uint64_t id, const struct chain_stored_result *done,
			     uint32_t n);

/* srv_chain_call.c */
void srv_chain_call_pieces(struct srv *s, const struct chain_cmd *cmd);
void srv_chain_free_results(struct srv *s, const struct chain_cmd *cmd);

/* srv_chain.c: executes the commands and frees the array. */
void srv_chain_execute(struct srv *s, GArray *out);

/* The node's name in peer messages. */
static inline const char *srv_chain_self(const struct srv *s)
{
	return s->set->peer_address;
}

#endif
