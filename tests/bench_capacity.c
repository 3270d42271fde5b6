/*
 * Measures the cost per node, upstream and account for docs/CAPACITY.md. Not part of the tests. The
 * decision core runs with a fixed seed, which is printed.
 * Usage: bench_capacity [decisions|peers|polls|nodes]
 */
#include "base/clock.h"
#include "capacity.h"
#include "decide/cfgrev.h"
#include "decide/core.h"
#include "node/digest.h"
#include "policy_doc.h"

#include <gsl/gsl_fit.h>
#include <gsl/gsl_sort.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROUNDS 5 /* measurements of which the median is taken */
#define TICKS 2000
#define TICK_MS 10
#define TICKS_PER_REQUEST 9 /* one request is made every so many ticks */
#define SEED 20261203
#define START_MS 100000

static double clock_us(clockid_t clock)
{
	struct timespec at;

	clock_gettime(clock, &at);
	return (double)at.tv_sec * 1e6 + (double)at.tv_nsec / 1e3;
}

double cap_process_us(void)
{
	return clock_us(CLOCK_PROCESS_CPUTIME_ID);
}

double cap_thread_us(void)
{
	return clock_us(CLOCK_THREAD_CPUTIME_ID);
}

double cap_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)(info.uordblks + info.hblkhd);
}

void cap_add(struct cap_series *s, double x, double y)
{
	s->x[s->n] = x;
	s->y[s->n++] = y;
}

static void print_points(const char *key, const double *v, size_t n)
{
	printf("\"%s\":[", key);
	for (size_t i = 0; i < n; i++)
		printf("%s%.6g", i ? "," : "", v[i]);
	printf("],");
}

void cap_print(const struct cap_series *s, double at)
{
	double base;
	double slope;
	double cov00;
	double cov01;
	double cov11;
	double sum;

	gsl_fit_linear(s->x, 1, s->y, 1, s->n, &base, &slope, &cov00, &cov01, &cov11, &sum);
	printf("{\"what\":\"%s\",\"unit\":\"%s\",\"against\":\"%s\",", s->what, s->unit,
	       s->against);
	print_points("x", s->x, s->n);
	print_points("y", s->y, s->n);
	printf("\"base\":%.4g,\"slope\":%.4g,\"slope_err\":%.2g,\"at\":%.6g,\"value\":%.4g}\n",
	       base, slope, sqrt(cov11), at, base + slope * at);
	fflush(stdout);
}

static double median(double *v, size_t n)
{
	gsl_sort(v, 1, n);
	return v[n / 2];
}

/* A node's configuration and decision core. */
struct node_state {
	struct cfgrev *cfgrev;
	struct core_state *core_state;
	double parse_us;
	double apply_us;
	double config_and_core_bytes; /* heap bytes of cfgrev and core_state */
	double core_bytes;	      /* the part that remains when cfgrev is freed */
};

static void handle_event(struct core_state *d, int64_t now_ms, const struct core_event *ev)
{
	struct core_out out;

	core_out_init(&out);
	core_handle(d, now_ms, ev, &out);
	core_out_free(&out);
}

static void offer_document(struct node_state *h, const GString *text)
{
	struct cfgrev_result result;
	double began = cap_thread_us();

	cfgrev_offer_document(h->cfgrev, text->str, text->len, &result);
	h->parse_us = cap_thread_us() - began;
	if (!result.cfg) {
		fprintf(stderr, "the configuration document was refused\n");
		exit(EXIT_FAILURE);
	}
	const struct core_event ev = {.type = CORE_EV_CONFIG, .u.cfg = result.cfg};
	began = cap_thread_us();
	handle_event(h->core_state, START_MS, &ev);
	h->apply_us = cap_thread_us() - began;
	cfgrev_result_clear(&result);
}

static void offer_list(struct node_state *h, const struct sizes *s, int64_t version)
{
	GString *text = sizes_list(s, version);
	const struct core_event ev = {.type = CORE_EV_LIST,
				      .at_ms = START_MS,
				      .u.list = vmlist_parse(text->str, text->len, NULL)};

	handle_event(h->core_state, START_MS, &ev);
	g_string_free(text, TRUE);
}

static void load_node_state(struct node_state *h, const struct sizes *s)
{
	GString *text = sizes_document(s, 1);
	double before = cap_heap_bytes();

	memset(h, 0, sizeof(*h));
	h->cfgrev = cfgrev_new();
	h->core_state = core_new("node-0", "dc-0", 1, SEED, START_MS);
	offer_document(h, text);
	offer_list(h, s, 1);
	h->config_and_core_bytes = cap_heap_bytes() - before;
	/* both refer to the parsed document, so it counts in the memory of core_state */
	before = cap_heap_bytes();
	cfgrev_free(h->cfgrev);
	double after = cap_heap_bytes();
	h->core_bytes = h->config_and_core_bytes - (before - after);
	h->cfgrev = cfgrev_new();
	offer_document(h, text);
	g_string_free(text, TRUE);
}

static void free_node_state(struct node_state *h)
{
	core_free(h->core_state);
	cfgrev_free(h->cfgrev);
}

/* Measures the first read of the whole document, then a change of its smallest section. */
static void measure_size(const struct sizes *s, double x, struct cap_series *first,
			 struct cap_series *change, struct cap_series *apply,
			 struct cap_series *memory, struct cap_series *size)
{
	double first_us[ROUNDS];
	double change_us[ROUNDS];
	double apply_us[ROUNDS];
	struct node_state h;

	for (int i = 0; i < ROUNDS; i++) {
		GString *text = sizes_document(s, 2);

		load_node_state(&h, s);
		first_us[i] = h.parse_us;
		offer_document(&h, text);
		change_us[i] = h.parse_us;
		apply_us[i] = h.apply_us;
		if (i == 0) {
			cap_add(memory, x, h.config_and_core_bytes);
			cap_add(size, x, (double)text->len);
		}
		g_string_free(text, TRUE);
		free_node_state(&h);
	}
	cap_add(first, x, median(first_us, ROUNDS));
	cap_add(change, x, median(change_us, ROUNDS));
	cap_add(apply, x, median(apply_us, ROUNDS));
}

static void measure_document(const char *against, size_t offset, const uint32_t *counts, size_t n)
{
	struct cap_series first = {"config_first_parse", "us", against};
	struct cap_series change = {"config_small_change_parse", "us", against};
	struct cap_series apply = {"config_apply", "us", against};
	struct cap_series memory = {"config_blackboard_list_heap", "B", against};
	struct cap_series size = {"document", "B", against};
	struct sizes s = sizes_target;

	for (size_t i = 0; i < n; i++) {
		memcpy((char *)&s + offset, &counts[i], sizeof(counts[i]));
		measure_size(&s, counts[i], &first, &change, &apply, &memory, &size);
	}
	cap_print(&first, counts[n - 1]);
	cap_print(&change, counts[n - 1]);
	cap_print(&apply, counts[n - 1]);
	cap_print(&memory, counts[n - 1]);
	cap_print(&size, counts[n - 1]);
}

static double parse_list(const struct sizes *s, double *bytes, double *text_bytes)
{
	GString *text = sizes_list(s, 1);
	double before = cap_heap_bytes();
	double began = cap_thread_us();
	struct vmlist *list = vmlist_parse(text->str, text->len, NULL);
	double took = cap_thread_us() - began;

	*bytes = cap_heap_bytes() - before;
	*text_bytes = (double)text->len;
	vmlist_free(list);
	g_string_free(text, TRUE);
	return took;
}

static void measure_list(void)
{
	static const uint32_t nodes[] = {41, 137, 410};
	struct cap_series time = {"list_parse", "us", "VMs"};
	struct cap_series heap = {"list_heap", "B", "VMs"};
	struct cap_series size = {"list_text", "B", "VMs"};
	struct cap_series apply = {"list_apply", "us", "VMs"};

	for (size_t i = 0; i < G_N_ELEMENTS(nodes); i++) {
		struct sizes s = sizes_target;
		double took[ROUNDS];
		double bytes = 0;
		double text_bytes = 0;
		struct node_state h;

		s.nodes = nodes[i];
		s.upstreams = nodes[i] * sizes_target.upstreams / sizes_target.nodes;
		double vms = s.nodes + s.upstreams;
		for (int k = 0; k < ROUNDS; k++)
			took[k] = parse_list(&s, &bytes, &text_bytes);
		cap_add(&time, vms, median(took, ROUNDS));
		cap_add(&heap, vms, bytes);
		cap_add(&size, vms, text_bytes);
		load_node_state(&h, &s);
		for (int k = 0; k < ROUNDS; k++) {
			double began = cap_thread_us();
			offer_list(&h, &s, k + 2);
			took[k] = cap_thread_us() - began;
		}
		cap_add(&apply, vms, median(took, ROUNDS) - time.y[i]);
		free_node_state(&h);
	}
	double at = sizes_target.nodes + sizes_target.upstreams;
	cap_print(&time, at);
	cap_print(&heap, at);
	cap_print(&size, at);
	cap_print(&apply, at);
}

static void measure_ticks(void)
{
	static const uint32_t counts[] = {610, 2000, 6100};
	struct cap_series ticks = {"idle_tick", "us", "upstreams"};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		const struct core_event tick = {.type = CORE_EV_TICK};
		struct sizes s = sizes_target;
		struct node_state h;

		s.upstreams = counts[i];
		load_node_state(&h, &s);
		double began = cap_thread_us();
		for (int k = 1; k <= TICKS; k++)
			handle_event(h.core_state, START_MS + k * TICK_MS, &tick);
		cap_add(&ticks, counts[i], (cap_thread_us() - began) / TICKS);
		free_node_state(&h);
	}
	cap_print(&ticks, sizes_target.upstreams);
}

/* Completes the open attempts and replaces them by those that the decision core sends next. */
static void complete_sends(struct core_state *d, int64_t now_ms, GArray *open)
{
	GArray *sends = g_array_copy(open);
	struct core_out out;

	g_array_set_size(open, 0);
	core_out_init(&out);
	for (guint i = 0; i < sends->len; i++) {
		const struct core_cmd *cmd = &g_array_index(sends, struct core_cmd, i);

		policy_doc_end_attempt(d, now_ms, cmd->req, cmd->attempt, 0, &out);
	}
	for (guint i = 0; i < out.cmds->len; i++) {
		const struct core_cmd *cmd = &g_array_index(out.cmds, struct core_cmd, i);

		if (cmd->type == CORE_CMD_SEND)
			g_array_append_vals(open, cmd, 1);
	}
	core_out_free(&out);
	g_array_unref(sends);
}

/* CPU time per tick at a node's share of the peak load: a request per 90 ms, 10 ms per stage. */
static double busy_tick_us(uint32_t engines)
{
	const struct policy_doc doc = {.policy = "adaptive",
				       .data_centres = 8,
				       .services = 4,
				       .upstreams = MAX(engines / 10, 3),
				       .engines = engines,
				       .warm_limit = 4,
				       .pipelines = 31,
				       .accounts = 2700,
				       .deadline_ms = 4000,
				       .cost_weight_pct = 100,
				       .out = -1};
	struct core_state *d = policy_doc_start(&doc, SEED, START_MS);
	GArray *open = g_array_new(FALSE, FALSE, sizeof(struct core_cmd));
	const struct core_event tick = {.type = CORE_EV_TICK};
	double spent = 0;

	for (int k = 1; k <= TICKS; k++) {
		int64_t now_ms = START_MS + k * TICK_MS;
		double began = cap_thread_us();

		handle_event(d, now_ms, &tick);
		spent += cap_thread_us() - began;
		complete_sends(d, now_ms, open);
		if (k % TICKS_PER_REQUEST)
			continue;
		struct core_out out;
		core_out_init(&out);
		policy_doc_request(d, now_ms, (uint64_t)k, k % 2700, 0, &out);
		for (guint i = 0; i < out.cmds->len; i++) {
			const struct core_cmd *cmd = &g_array_index(out.cmds, struct core_cmd, i);

			if (cmd->type == CORE_CMD_SEND)
				g_array_append_vals(open, cmd, 1);
		}
		core_out_free(&out);
	}
	g_array_unref(open);
	core_free(d);
	return spent / TICKS;
}

static void measure_busy_ticks(void)
{
	static const uint32_t counts[] = {610, 2000, 6100};
	struct cap_series ticks = {"busy_tick", "us", "engines"};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++)
		cap_add(&ticks, counts[i], busy_tick_us(counts[i]));
	cap_print(&ticks, sizes_target.upstreams);
}

static void measure_digest(void)
{
	static const uint32_t counts[] = {0, 4, 8, 12};
	struct cap_series bytes = {"view_message", "B", "reports"};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct member_digest digest = {.list_version = 100000,
					       .list_age_ms = 500,
					       .sure = true,
					       .places_revision = 4300};
		Peer__Message message = PEER__MESSAGE__INIT;
		struct digest_message out;

		for (uint32_t k = 0; k < counts[i]; k++) {
			digest.reports[k] = (struct member_report){.name = "up-6000",
								   .incarnation = UINT64_MAX,
								   .warm = true,
								   .running = 3,
								   .age_ms = 500};
		}
		digest.n_reports = counts[i];
		digest_to_message(&digest, &out);
		message.from_vm = message.to_vm = (char *)"node-400";
		message.from_incarnation = UINT64_MAX;
		message.sent_wall_ms = clock_wall_ms();
		message.ttl_ms = MEMBER_DIGEST_TTL_MS;
		message.kind_case = PEER__MESSAGE__KIND_VIEW;
		message.view = &out.view;
		cap_add(&bytes, counts[i], (double)peer__message__get_packed_size(&message));
	}
	cap_print(&bytes, MEMBER_REPORTS_MAX);
}

/* Measures the size of a digest message by its number of sections. */
static void measure_sections(void)
{
	static const uint32_t counts[] = {2, 4, 8};
	struct cap_series bytes = {"section_digest_message", "B", "sections"};

	for (size_t i = 0; i < G_N_ELEMENTS(counts); i++) {
		Peer__Section sections[CFG_SECTIONS];
		Peer__Section *list[CFG_SECTIONS];
		Peer__Digest digest = PEER__DIGEST__INIT;
		Peer__Message message = PEER__MESSAGE__INIT;

		for (uint32_t k = 0; k < counts[i]; k++) {
			peer__section__init(&sections[k]);
			sections[k].id = k;
			sections[k].revision = 4300;
			sections[k].hash = UINT64_MAX;
			list[k] = &sections[k];
		}
		digest.sections = list;
		digest.n_sections = counts[i];
		digest.list_age_ms = -1;
		digest.reply_wanted = true;
		message.from_vm = message.to_vm = (char *)"node-400";
		message.from_incarnation = UINT64_MAX;
		message.sent_wall_ms = clock_wall_ms();
		message.ttl_ms = MEMBER_DIGEST_TTL_MS;
		message.kind_case = PEER__MESSAGE__KIND_DIGEST;
		message.digest = &digest;
		cap_add(&bytes, counts[i], (double)peer__message__get_packed_size(&message));
	}
	cap_print(&bytes, CFG_SECTIONS);
}

static void measure_decisions(void)
{
	static const uint32_t upstreams[] = {610, 2000, 6100};
	static const uint32_t accounts[] = {270, 900, 2700};
	static const uint32_t nodes[] = {41, 137, 410};

	measure_document("upstreams", offsetof(struct sizes, upstreams), upstreams, 3);
	measure_document("accounts", offsetof(struct sizes, accounts), accounts, 3);
	measure_document("nodes", offsetof(struct sizes, nodes), nodes, 3);
	measure_list();
	measure_ticks();
	measure_busy_ticks();
	measure_digest();
	measure_sections();
}

int main(int argc, char **argv)
{
	static const struct {
		const char *name;
		void (*run)(void);
	} parts[] = {{"decisions", measure_decisions},
		     {"peers", cap_peers},
		     {"polls", cap_polls},
		     {"nodes", cap_nodes}};

	printf("{\"seed\":%d}\n", SEED);
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		if (argc < 2 || strcmp(argv[1], parts[i].name) == 0)
			parts[i].run();
	}
	return 0;
}
