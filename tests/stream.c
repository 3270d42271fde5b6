#include "stream.h"

#include "base/clock.h"
#include "raw.h"

#include <limits.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SILENCE_MS 3000 /* a caller leaves after a silence that is longer */
#define POLL_MS 2
#define BLOCK_BYTES 4096
#define EVENT_END "\n\n"

void stream_init(struct stream *st)
{
	*st = (struct stream){.last = -1, .fd = -1};
}

void stream_close(struct stream *st)
{
	if (st->fd >= 0)
		close(st->fd);
	st->fd = -1;
}

void stream_clear(struct stream *st)
{
	stream_close(st);
	if (st->text)
		g_string_free(st->text, TRUE);
	st->text = NULL;
}

static char *request_text(const struct stream *st, const char *target)
{
	char *resume = st->last < 0 ? g_strdup("")
				    : g_strdup_printf("Resumes: %s\r\nLast-Event-Id: %d\r\n",
						      st->origin, st->last);
	char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h.example\r\n"
				     "X-Currantscale-Attempt-Id: %s\r\n"
				     "X-Currantscale-Deadline-Ms: 5000\r\n"
				     "X-Currantscale-Key: key-1\r\nConnection: close\r\n"
				     "Content-Length: 0\r\n%s\r\n",
				     target, st->attempt, resume);

	g_free(resume);
	return text;
}

void stream_open(struct stream *st, struct cluster *c, uint32_t node, const char *target)
{
	char *request;

	stream_clear(st);
	st->text = g_string_new(NULL);
	st->read_bytes = 0;
	st->status = 0;
	st->n_events = 0;
	st->upstream[0] = '\0';
	st->is_whole = false;
	st->sent_ms = clock_now_ms();
	st->heard_ms = st->sent_ms;
	st->took_ms = 0;
	g_snprintf(st->attempt, sizeof(st->attempt), "attempt-%d",
		   g_atomic_int_add(&c->next_attempt, 1));
	st->fd = cluster_connect(c->nodes[node].front);
	if (st->fd < 0)
		return;
	request = request_text(st, target);
	raw_write_text(st->fd, request);
	g_free(request);
}

/* event: "id: ID\ndata: VERSION token ID" */
static void count_event(struct stream *st, const char *event)
{
	char version[STREAM_ID_BYTES] = "";
	int id = -1;

	if (sscanf(event, "id: %d data: %31s", &id, version) != 2)
		return;
	st->is_disordered |= id != st->last + 1;
	if (st->last < 0) {
		g_strlcpy(st->origin, st->attempt, sizeof(st->origin));
		g_strlcpy(st->version, version, sizeof(st->version));
		g_strlcpy(st->began_at, st->upstream, sizeof(st->began_at));
	}
	st->is_mixed |= strcmp(version, st->version) != 0;
	st->last = id;
	st->n_events++;
}

static void read_head(struct stream *st)
{
	const char *signature = strstr(st->text->str, "X-Currantscale-Response-Signature: ");

	st->status = atoi(st->text->str + strlen("HTTP/1.1 "));
	if (signature)
		sscanf(signature, "%*s %31s", st->upstream);
}

/* Returns whether only the end of the connection ends the answer. */
static bool is_unframed(const struct stream *st)
{
	return st->status == 200 && !strstr(st->text->str, "Transfer-Encoding: chunked") &&
	       !strstr(st->text->str, "Content-Length: ");
}

static GString *body_of(const struct stream *st)
{
	const char *end = strstr(st->text->str, "\r\n\r\n");

	return is_unframed(st) ? g_string_new(end + strlen("\r\n\r\n")) : raw_unchunk(st->text);
}

/* Counts the complete events that have come since the last call. */
static void read_events(struct stream *st)
{
	GString *body;
	const char *at;
	const char *end;

	if (!strstr(st->text->str, "\r\n\r\n"))
		return;
	read_head(st);
	if (st->status != 200)
		return;
	body = body_of(st);
	for (at = body->str + st->read_bytes; (end = strstr(at, EVENT_END)); at = end) {
		count_event(st, at);
		end += strlen(EVENT_END);
	}
	st->read_bytes = (gsize)(at - body->str);
	st->is_whole = g_str_has_suffix(st->text->str, "\r\n0\r\n\r\n");
	g_string_free(body, TRUE);
}

/* Waits for more of the answer; ends the try if none came for too long. */
static void receive(struct stream *st, int wait_ms)
{
	struct pollfd poller = {.fd = st->fd, .events = POLLIN};
	char block[BLOCK_BYTES];
	ssize_t n = -1;

	if (poll(&poller, 1, wait_ms) > 0)
		n = recv(st->fd, block, sizeof(block), 0);
	else if (clock_now_ms() - st->heard_ms < SILENCE_MS)
		return;
	if (n <= 0) {
		st->is_whole |= n == 0 && is_unframed(st);
		st->took_ms = clock_now_ms() - st->sent_ms;
		stream_close(st);
		return;
	}
	st->heard_ms = clock_now_ms();
	g_string_append_len(st->text, block, n);
	read_events(st);
}

bool stream_read(struct stream *st, int until)
{
	while (st->fd >= 0 && st->last < until)
		receive(st, SILENCE_MS);
	return st->last >= until;
}

void stream_finish(struct stream *st)
{
	stream_read(st, INT_MAX);
}

void stream_finish_all(struct stream *streams, size_t n)
{
	bool any = true;

	while (any) {
		any = false;
		for (size_t i = 0; i < n; i++) {
			if (streams[i].fd >= 0)
				receive(&streams[i], 0);
			any |= streams[i].fd >= 0;
		}
		clock_sleep_ms(POLL_MS);
	}
}
