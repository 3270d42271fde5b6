/*
 * Record of refused chains, to see whether they come again at the time that they were told. A chain
 * that comes again is recognised by its key and its stages.
 */
#include "chain_internal.h"

#include <string.h>

/* A refused chain that hasn't come this long after the time that it was told won't come. */
#define RETURN_GRACE_MS 5000

#define FNV_OFFSET 14695981039346656037U
#define FNV_PRIME 1099511628211U

static uint64_t add_bytes(uint64_t hash, const void *data, size_t n)
{
	const uint8_t *bytes = data;

	for (size_t i = 0; i < n; i++)
		hash = (hash ^ bytes[i]) * FNV_PRIME;
	return hash;
}

static uint64_t hash_job(const struct job *job)
{
	uint64_t hash = add_bytes(FNV_OFFSET, job->key, strlen(job->key) + 1);

	for (uint32_t i = 0; i < job->n_stages; i++) {
		const struct stage *s = &job->stages[i];
		hash = add_bytes(hash, s->service, strlen(s->service) + 1);
		hash = add_bytes(hash, &s->n_pieces, sizeof(s->n_pieces));
	}
	return hash;
}

void chain_note_refused(struct chain_sched *c, const struct job *job, int64_t retry_ms,
			int64_t now_ms)
{
	uint64_t hash;

	if (!job->key)
		return;
	hash = hash_job(job);
	c->refused[hash % CHAIN_REFUSED_MAX] = (struct chain_refused){
		.hash = hash,
		.until_ms = now_ms + retry_ms + RETURN_GRACE_MS,
	};
}

bool chain_is_return(struct chain_sched *c, const struct job *job, int64_t now_ms)
{
	struct chain_refused *entry;
	uint64_t hash;

	if (!job->key)
		return false;
	hash = hash_job(job);
	entry = &c->refused[hash % CHAIN_REFUSED_MAX];
	if (entry->hash != hash || now_ms > entry->until_ms)
		return false;
	*entry = (struct chain_refused){0};
	return true;
}
