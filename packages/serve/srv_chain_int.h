/* Chain functions shared by the srv_chain files. */
#ifndef SERVE_SRV_CHAIN_INT_H
#define SERVE_SRV_CHAIN_INT_H

#include "srv_int.h"

struct srv_chain_request;

/* A chain encoded for a peer message; borrows strings from the encoded chain and results. */
struct srv_chain_wire {
	Peer__ChainAsk ask;
	Peer__ChainStage stages[PUB_STAGES_MAX];
	Peer__ChainStage *list[PUB_STAGES_MAX];
	Peer__ChainDone *done;
	Peer__ChainDone **done_list;
};

/* srv_chain_wire.c: encodes and decodes chains. Release *w with srv_chain_wire_clear(). */
void srv_chain_encode_results(struct srv_chain_wire *w, const struct chain_stored_result *done,
			      uint32_t n);
void srv_chain_encode(struct srv_chain_wire *w, const struct chain_job_spec *doc,
		      const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void srv_chain_wire_clear(struct srv_chain_wire *w);

/* doc borrows from the message and from stages; free doc->regions alone, with g_free(). */
void srv_chain_decode(const Peer__ChainAsk *wire, const char *asker,
		      struct chain_stage_spec *stages, struct chain_job_spec *doc, int64_t now_ms);

/* Returns an array of n results to be freed with g_free(); their strings are borrowed. */
struct chain_stored_result *srv_chain_decode_results(Peer__ChainDone *const *wire, size_t n);

/* srv_chain_client.c */
void srv_chain_send_end(struct srv *s, const char *owner, uint64_t id);
void srv_chain_handle_end(struct srv *s, const Peer__ChainEnd *end);

/* Passes a result received from the owner to the request. A refusal ends the chain on this node. */
void srv_chain_deliver(struct srv *s, uint64_t id, const char *from,
		       const struct srv_chain_result *result);

/*
 * Records that the node at address has confirmed owning a chain. moved: the node took the chain
 * over from another owner. Returns false if the chain has already ended here.
 */
bool srv_chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved);

/* Records that owner "from" has handed a chain off to the node at address, which has to confirm. */
void srv_chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address);
void srv_chain_save_progress(struct srv *s, uint64_t id, const struct chain_stored_result *done,
			     uint32_t n);

/* srv_chain_call.c */
void srv_chain_call_pieces(struct srv *s, const struct chain_cmd *cmd);
void srv_chain_free_results(struct srv *s, const struct chain_cmd *cmd);

/* srv_chain.c: executes the commands and frees the array. */
void srv_chain_execute(struct srv *s, GArray *out);

/* Returns the name of this node in peer messages: its peer address. */
static inline const char *srv_chain_self(const struct srv *s)
{
	return s->set->peer_address;
}

#endif
