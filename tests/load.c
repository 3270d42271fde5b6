#include "load.h"

#include "base/clock.h"

#include <stdlib.h>
#include <string.h>

#define STEP_MS 5

static void free_call(gpointer data)
{
	struct load_call *call = data;

	g_free(call->body);
	g_free(call);
}

void load_init(struct load *load, struct cluster *c, const char *target, const char *extra,
	       int64_t every_ms)
{
	*load = (struct load){
		.c = c,
		.target = target,
		.extra = extra,
		.every_ms = every_ms,
		.calls = g_ptr_array_new_with_free_func(free_call),
	};
}

static double read_retry_after(const GString *text)
{
	const char *at = strstr(text->str, "Retry-After: ");

	return at ? strtod(at + strlen("Retry-After: "), NULL) : -1;
}

static gpointer run_call(gpointer arg)
{
	struct load_call *call = arg;
	struct cluster_answer answer;

	cluster_try_send(call->load->c, call->node, "POST", call->load->target, call->load->extra,
			 call->attempt, sizeof(call->attempt), &answer);
	call->took_ms = clock_now_ms() - call->sent_ms;
	call->status = answer.status;
	call->whole = answer.whole;
	call->body = g_strdup(answer.body);
	call->retry_after_s = read_retry_after(answer.text);
	cluster_answer_clear(&answer);
	return NULL;
}

static void send_call(struct load *load)
{
	struct load_call *call = g_new0(struct load_call, 1);
	uint32_t n = load->c->n_nodes - load->first_node;

	call->load = load;
	call->node = load->first_node + load->calls->len % n;
	call->sent_ms = clock_now_ms();
	g_ptr_array_add(load->calls, call);
	call->thread = g_thread_new("call", run_call, call);
}

void load_run(struct load *load, int64_t span_ms)
{
	int64_t at_ms = clock_now_ms();
	int64_t end_ms = at_ms + span_ms;

	for (int64_t now_ms = at_ms; now_ms < end_ms; now_ms = clock_now_ms()) {
		for (; at_ms <= now_ms; at_ms += load->every_ms)
			send_call(load);
		clock_sleep_ms(STEP_MS);
	}
}

void load_join(struct load *load)
{
	for (guint i = 0; i < load->calls->len; i++) {
		struct load_call *call = g_ptr_array_index(load->calls, i);
		if (call->thread)
			g_thread_join(call->thread);
		call->thread = NULL;
	}
}

void load_clear(struct load *load)
{
	load_join(load);
	g_ptr_array_unref(load->calls);
}

uint32_t load_count(const struct load *load, int status, int64_t from_ms, int64_t to_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < load->calls->len; i++) {
		const struct load_call *call = g_ptr_array_index(load->calls, i);
		n += call->sent_ms >= from_ms && call->sent_ms < to_ms &&
		     (status < 0 || call->status == status);
	}
	return n;
}
