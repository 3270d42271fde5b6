/*
 * Answers of an emulated upstream. A fixed body stands ready; a generated one grows by a token at
 * a time. Both are a text that depends on the input alone, so a resume gets the same bytes.
 */
#include "emu_int.h"

#include <string.h>

#define ANS_BLOCK_BYTES 1024
#define ANS_TOKEN_BYTES 32
#define ANS_ODD_BYTES_MAX 7

struct answer {
	struct emu_run *run; /* NULL: it ended */
	GString *text;	     /* made so far */
	int64_t at;	     /* byte of text that is sent next */
	int64_t sent;
	int64_t next;	/* token */
	int64_t tokens; /* 0: a fixed body */
	int64_t cut_after_bytes;
	bool odd_chunks;
	struct rnd rnd;
};

static void end(struct answer *answer, enum emu_outcome how)
{
	if (!answer->run)
		return;
	emu_count_bytes(answer->run->up, answer->run->arrival->source, 0, answer->sent);
	emu_run_end(answer->run, how);
	answer->run = NULL;
}

static void add_token(struct answer *answer)
{
	g_string_append_printf(answer->text, "token%" G_GINT64_FORMAT ".%08x\n", answer->next++,
			       answer->run->tag);
}

/* A resume skips tokens that were sent before without their time. */
static void skip_to(struct answer *answer, int64_t offset)
{
	while ((int64_t)answer->text->len < offset && answer->next < answer->tokens)
		add_token(answer);
	answer->at = MIN(offset, (int64_t)answer->text->len);
}

static ssize_t take(struct answer *answer, char *buf, size_t max)
{
	int64_t n = MIN((int64_t)max, (int64_t)answer->text->len - answer->at);

	if (answer->odd_chunks) {
		int64_t odd = 1 + (int64_t)rnd_below(&answer->rnd, ANS_ODD_BYTES_MAX);
		n = MIN(n, odd);
	}
	if (answer->cut_after_bytes >= 0)
		n = MIN(n, answer->cut_after_bytes - answer->sent);
	memcpy(buf, answer->text->str + answer->at, (size_t)n);
	answer->at += n;
	answer->sent += n;
	return (ssize_t)n;
}

static ssize_t write_answer(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct answer *answer = arg;
	enum emu_outcome how = EMU_OUTCOME_DROPPED;
	ssize_t n;

	if (answer->cut_after_bytes >= 0 && answer->sent >= answer->cut_after_bytes) {
		end(answer, EMU_OUTCOME_DROPPED);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (answer->at == (int64_t)answer->text->len && answer->next < answer->tokens) {
		if (!emu_run_token(answer->run, &how)) {
			end(answer, how);
			return MHD_CONTENT_READER_END_WITH_ERROR;
		}
		add_token(answer);
	}
	if (answer->at == (int64_t)answer->text->len) {
		end(answer, EMU_OUTCOME_COMPLETE);
		return MHD_CONTENT_READER_END_OF_STREAM;
	}
	n = take(answer, buf, max);
	/* a body of known length is not asked for its end */
	if (answer->tokens == 0 && answer->at == (int64_t)answer->text->len)
		end(answer, EMU_OUTCOME_COMPLETE);
	return n;
}

static void free_answer(void *arg)
{
	struct answer *answer = arg;

	end(answer, EMU_OUTCOME_ABANDONED);
	g_string_free(answer->text, TRUE);
	g_free(answer);
}

static void read_set(struct answer *answer, struct emu_upstream *up)
{
	pthread_mutex_lock(&up->lock);
	answer->tokens = up->kind == CFG_KIND_ENGINE ? up->set.tokens : 0;
	answer->cut_after_bytes = up->set.cut_after_bytes;
	answer->odd_chunks = up->set.odd_chunks;
	answer->rnd.state = rnd_next(&up->rnd);
	pthread_mutex_unlock(&up->lock);
}

struct MHD_Response *emu_answer_new(struct emu_run *run, const GByteArray *body, int64_t offset)
{
	struct answer *answer = g_new0(struct answer, 1);
	struct emu_upstream *up = run->up;
	uint64_t len = MHD_SIZE_UNKNOWN;

	answer->run = run;
	answer->text = g_string_new(NULL);
	read_set(answer, up);
	if (up->kind == CFG_KIND_ENGINE) {
		skip_to(answer, offset);
	} else {
		g_string_printf(answer->text, "%s(%.*s)", up->service, (int)body->len,
				body->data ? (const char *)body->data : "");
		len = answer->text->len;
	}
	return MHD_create_response_from_callback(len, ANS_BLOCK_BYTES, write_answer, answer,
						 free_answer);
}
