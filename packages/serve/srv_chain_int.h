/* Parts of the chains' two sides, shared by the files of the module. */
#ifndef SERVE_SRV_CHAIN_INT_H
#define SERVE_SRV_CHAIN_INT_H

#include "srv_int.h"

struct srv_chain_request;

/* A chain as it travels; borrows from doc. */
struct srv_chain_wire {
	Peer__ChainAsk ask;
	Peer__ChainStage stages[PUB_STAGES_MAX];
	Peer__ChainStage *list[PUB_STAGES_MAX];
	Peer__ChainDone *done;
	Peer__ChainDone **done_list;
};

/* srv_chain_wire.c: the way out, cleared with srv_chain_wire_clear(), and the way in. */
void srv_chain_encode_results(struct srv_chain_wire *w, const struct chn_done *done, uint32_t n);
void srv_chain_encode(struct srv_chain_wire *w, const struct chn_job_doc *doc,
		      const struct chn_done *done, uint32_t n_done, int64_t now_ms);
void srv_chain_wire_clear(struct srv_chain_wire *w);

/* Borrows from the message, but for regions: free them with g_free(). */
void srv_chain_decode(const Peer__ChainAsk *wire, const char *asker, struct chn_stage_doc *stages,
		      struct chn_job_doc *doc, int64_t now_ms);

/* Free with g_free(). */
struct chn_done *srv_chain_decode_results(Peer__ChainDone *const *wire, size_t n);

/* srv_chain_submit.c */
void srv_chain_send_end(struct srv *s, const char *owner, uint64_t id);
void srv_chain_handle_end(struct srv *s, const Peer__ChainEnd *end);

/* The answer to an ask; a refusal ends it. */
void srv_chain_deliver(struct srv *s, uint64_t id, const char *from,
		       const struct srv_chain_result *result);

/*
 * The owner's word that it has a chain; moved: it has taken it over from another. False when the
 * chain has ended here meanwhile.
 */
bool srv_chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved);

/* The owner from has given a chain to another node, whose own word is still to come. */
void srv_chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address);
void srv_chain_save_progress(struct srv *s, uint64_t id, const struct chn_done *done, uint32_t n);

/* srv_chain_call.c */
void srv_chain_call_pieces(struct srv *s, const struct chn_cmd *cmd);
void srv_chain_free_results(struct srv *s, const struct chn_cmd *cmd);

/* srv_chain.c: carries out and frees commands. */
void srv_chain_execute(struct srv *s, GArray *out);

/* The node's name among nodes. */
static inline const char *srv_chain_self(const struct srv *s)
{
	return s->set->peer_address;
}

#endif
