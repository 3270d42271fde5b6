/* Parts of the chains' two sides, shared by the files of the module. */
#ifndef SERVE_SRV_CHAIN_INT_H
#define SERVE_SRV_CHAIN_INT_H

#include "srv_int.h"

struct srv_ask;

/* A chain as it travels; borrows from doc. */
struct wire_ask {
	Peer__ChainAsk ask;
	Peer__ChainStage stages[PUB_STAGES_MAX];
	Peer__ChainStage *list[PUB_STAGES_MAX];
	Peer__ChainDone *done;
	Peer__ChainDone **done_list;
};

/* srv_chain_wire.c: the way out, cleared with chain_clear_wire(), and the way in. */
void chain_fill_done(struct wire_ask *w, const struct chain_stored_result *done, uint32_t n);
void chain_fill_wire(struct wire_ask *w, const struct chain_job_spec *doc,
		     const struct chain_stored_result *done, uint32_t n_done, int64_t now_ms);
void chain_clear_wire(struct wire_ask *w);

/* Borrows from the message, but for regions: free them with g_free(). */
void chain_read_wire(const Peer__ChainAsk *wire, const char *asker, struct chain_stage_spec *stages,
		     struct chain_job_spec *doc, int64_t now_ms);

/* Free with g_free(). */
struct chain_stored_result *chain_read_done(Peer__ChainDone *const *wire, size_t n);

/* srv_chain_ask.c */
void chain_send_end(struct srv *s, const char *owner, uint64_t id);
void chain_take_end(struct srv *s, const Peer__ChainEnd *end);

/* The answer to an ask; a refusal ends it. */
void chain_answer(struct srv *s, uint64_t id, const char *from,
		  const struct srv_chain_result *result);

/*
 * The owner's word that it has a chain; moved: it has taken it over from another. False when the
 * chain has ended here meanwhile.
 */
bool chain_set_owner(struct srv *s, uint64_t id, const char *address, bool moved);

/* The owner from has given a chain to another node, whose own word is still to come. */
void chain_expect_owner(struct srv *s, uint64_t id, const char *from, const char *address);
void chain_keep_progress(struct srv *s, uint64_t id, const struct chain_stored_result *done,
			 uint32_t n);

/* srv_chain_call.c */
void chain_send_pieces(struct srv *s, const struct chain_cmd *cmd);
void chain_send_free(struct srv *s, const struct chain_cmd *cmd);

/* srv_chain.c: carries out and frees commands. */
void chain_carry_out(struct srv *s, GArray *out);

/* The node's name among nodes. */
static inline const char *chain_self(const struct srv *s)
{
	return s->set->peer_address;
}

#endif
