#include "srv_poison.h"

#include "base/clock.h"
#include "base/log.h"

uint64_t srv_poison_digest(struct srv_req *r)
{
	uint64_t parts[ADAPTER_PROMPT_PARTS_MAX];

	if (r->digest != 0)
		return r->digest;
	for (uint32_t i = 0; i < r->meta.n_parts; i++)
		parts[i] = r->meta.parts[i].id;
	r->digest = poison_digest(&(struct poison_request){
		.method = r->http->method,
		.host = r->meta.host,
		.target = r->http->target,
		.account = r->account ? r->account->name : NULL,
		.body = r->http->body->data,
		.len = r->http->body->len,
		.parts = parts,
		.n_parts = r->meta.n_parts,
	});
	return r->digest;
}

void srv_poison_note_end(struct srv_attempt *attempt)
{
	struct srv_req *r = attempt->req;
	uint64_t upstream = srv_upstream_run_hash(r->s, attempt->upstream);
	char *digest_text = srv_hex_ids(&(uint64_t){srv_poison_digest(r)}, 1);
	char *upstream_text = srv_hex_ids(&upstream, 1);

	log_info("run_broken", "{s:s, s:s, s:s, s:s, s:s, s:s, s:I, s:b}", "request",
		 r->meta.attempt, "digest", digest_text, "upstream", attempt->upstream->id,
		 "address", attempt->upstream->address, "crash_id", upstream_text, "target",
		 r->http->target, "after_ms", (json_int_t)(clock_now_ms() - attempt->sent_ms),
		 "has_head", attempt->begun_ms > 0);
	g_free(digest_text);
	g_free(upstream_text);
}
