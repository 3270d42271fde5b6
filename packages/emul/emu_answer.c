/*
 * Answers of an emulated upstream: a fixed body, or a stream generated token by token. They depend
 * on the input alone, so a resumed stream continues with the same bytes.
 */
#include "emu_int.h"

#include <string.h>

#define ANSWER_BLOCK_BYTES 1024
#define ANSWER_TOKEN_BYTES 32
#define ANSWER_ODD_BYTES_MAX 7

struct answer {
	struct emu_run *run; /* NULL after the run has ended */
	GString *text;	     /* generated so far */
	int64_t at;	     /* offset in text of the next byte to send */
	int64_t sent;
	int64_t next_token; /* number of the next token */
	int64_t tokens;	    /* number of tokens in the answer; 0 for a fixed body */
	int64_t cut_after_bytes;
	bool odd_chunks;
	struct prng prng;
};

static void finish(struct answer *answer, enum emu_outcome outcome)
{
	if (!answer->run)
		return;
	emu_count_bytes(answer->run->up, answer->run->arrival->source, 0, answer->sent);
	emu_run_end(answer->run, outcome);
	answer->run = NULL;
}

static void add_token(struct answer *answer)
{
	g_string_append_printf(answer->text, "token%" G_GINT64_FORMAT ".%08x\n",
			       answer->next_token++, answer->run->tag);
}

/* Skips to the offset at which a resumed answer starts, without waiting for the skipped tokens. */
static void skip_to(struct answer *answer, int64_t offset)
{
	while ((int64_t)answer->text->len < offset && answer->next_token < answer->tokens)
		add_token(answer);
	answer->at = MIN(offset, (int64_t)answer->text->len);
}

static ssize_t copy_bytes(struct answer *answer, char *buf, size_t max)
{
	int64_t n = MIN((int64_t)max, (int64_t)answer->text->len - answer->at);

	if (answer->odd_chunks) {
		int64_t odd = 1 + (int64_t)prng_below(&answer->prng, ANSWER_ODD_BYTES_MAX);
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
	enum emu_outcome outcome = EMU_OUTCOME_DROPPED;
	ssize_t n;

	if (answer->cut_after_bytes >= 0 && answer->sent >= answer->cut_after_bytes) {
		finish(answer, EMU_OUTCOME_DROPPED);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (answer->at == (int64_t)answer->text->len && answer->next_token < answer->tokens) {
		if (!emu_run_token(answer->run, &outcome)) {
			finish(answer, outcome);
			return MHD_CONTENT_READER_END_WITH_ERROR;
		}
		add_token(answer);
	}
	if (answer->at == (int64_t)answer->text->len) {
		finish(answer, EMU_OUTCOME_COMPLETE);
		return MHD_CONTENT_READER_END_OF_STREAM;
	}
	n = copy_bytes(answer, buf, max);
	/* libmicrohttpd does not call the reader again at the end of a body of known length */
	if (answer->tokens == 0 && answer->at == (int64_t)answer->text->len)
		finish(answer, EMU_OUTCOME_COMPLETE);
	return n;
}

static void free_answer(void *arg)
{
	struct answer *answer = arg;

	finish(answer, EMU_OUTCOME_ABANDONED);
	g_string_free(answer->text, TRUE);
	g_free(answer);
}

static void load_settings(struct answer *answer, struct emu_upstream *up)
{
	pthread_mutex_lock(&up->lock);
	answer->tokens = up->kind == CFG_KIND_ENGINE ? up->settings.tokens : 0;
	answer->cut_after_bytes = up->settings.cut_after_bytes;
	answer->odd_chunks = up->settings.odd_chunks;
	answer->prng.state = prng_next(&up->prng);
	pthread_mutex_unlock(&up->lock);
}

struct MHD_Response *emu_answer_new(struct emu_run *run, const GByteArray *body, int64_t offset)
{
	struct answer *answer = g_new0(struct answer, 1);
	struct emu_upstream *up = run->up;
	uint64_t len = MHD_SIZE_UNKNOWN;

	answer->run = run;
	answer->text = g_string_new(NULL);
	load_settings(answer, up);
	if (up->kind == CFG_KIND_ENGINE) {
		skip_to(answer, offset);
	} else {
		g_string_printf(answer->text, "%s(%.*s)", up->service, (int)body->len,
				body->data ? (const char *)body->data : "");
		len = answer->text->len;
	}
	return MHD_create_response_from_callback(len, ANSWER_BLOCK_BYTES, write_answer, answer,
						 free_answer);
}
