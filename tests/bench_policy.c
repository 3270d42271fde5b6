/*
 * Compares the adaptive policy with the baseline on a simulated clock: the decision core of one
 * node in front of simulated upstreams (first come, first served, warm_limit servers each).
 *
 * Usage: bench_policy [seeds] [seconds] [engines warm_limit]
 */
#include "policy_doc.h"

#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <math.h>
#include <string.h>

#define SEEDS_MAX 32
#define TICK_US 10000
#define STAGES 4
#define CLASSES 3
#define DEADLINE_MS 1500
#define WARM_LIMIT_DEFAULT 8
#define ENGINES_DEFAULT 9
#define POOL_UPSTREAMS 3
#define BODY_BYTES 200000
#define ENGINE_S 0.3 /* mean service time of an engine */
#define STRAGGLER_FACTOR 10

/* mean service time of each stage */
static const double mean_ms[STAGES] = {10, 20, 30, 300};
/* fraction of the requests in each class */
static const double class_share[CLASSES] = {0.1, 0.3, 0.6};
static uint32_t engines = ENGINES_DEFAULT;
static uint32_t warm_limit = WARM_LIMIT_DEFAULT;

/* offered load as a multiple of the capacity of the engines */
static const double loads[] = {0.7, 1.0, 1.5, 3.0};

enum fault { FAULT_NONE, FAULT_STRAGGLER, FAULT_OUT, FAULTS };
static const char *const fault_names[] = {"none", "one engine ten times slower",
					  "dc1 out for the middle third"};

enum kind { EV_ARRIVAL, EV_TICK, EV_DONE };

struct job {
	uint64_t req;
	uint32_t stage;
	uint32_t attempt;
	uint32_t upstream;
	int64_t sent_us;
	bool running;
	bool ended;
};

struct event {
	int64_t at_us;
	uint64_t serial;
	enum kind kind;
	struct job *job;
};

struct server {
	GQueue waiting; /* queue of struct job */
	uint32_t busy;
};

struct figures {
	double attained[CLASSES]; /* percentage of requests of a class that were answered in time */
	double goodput;		  /* answers in time per second */
	double amplification;	  /* attempts per first attempt of a stage */
	double paid_mb;		  /* MB sent over paid links per thousand answers */
	double refused_ms;	  /* mean time from the arrival of a request to its refusal */
};

struct sim {
	struct core_state *d;
	gsl_rng *rng;
	GSequence *events;
	uint64_t serial;
	int64_t now_us;
	GArray *servers;
	GPtrArray *jobs;    /* owned */
	GArray *arrived_us; /* arrival times by request id */
	GArray *classes;
	int64_t arrivals[CLASSES];
	int64_t in_time[CLASSES];
	int64_t sends, first_attempts, refusals, refused_us;
	double paid_bytes;
	enum fault fault;
	int64_t counted_us; /* end of the measurement: requests that arrive later are not counted */
	struct core_out out;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->serial < y->serial ? -1 : 1;
}

static void schedule(struct sim *sim, int64_t at_us, enum kind kind, struct job *job)
{
	const struct event ev = {at_us, sim->serial++, kind, job};

	g_sequence_insert_sorted(sim->events, g_memdup2(&ev, sizeof(ev)), compare_events, NULL);
}

static struct server *server_of(struct sim *sim, uint32_t upstream)
{
	return &g_array_index(sim->servers, struct server, upstream);
}

static void start_job(struct sim *sim, struct job *job)
{
	const struct bb_upstream *up = bb_upstream(&sim->d->bb, job->upstream);
	double ms = mean_ms[job->stage] * gsl_ran_lognormal(sim->rng, -0.125, 0.5);

	if (sim->fault == FAULT_STRAGGLER && strcmp(up->name, "u3-0") == 0)
		ms *= STRAGGLER_FACTOR;
	ms += 2.0 * (double)sim->d->bb.links[up->dc].latency_ms;
	job->running = true;
	server_of(sim, job->upstream)->busy++;
	schedule(sim, sim->now_us + (int64_t)(ms * 1000), EV_DONE, job);
}

static void send_job(struct sim *sim, const struct core_cmd *cmd)
{
	struct job *job = g_new0(struct job, 1);
	struct server *server = server_of(sim, cmd->upstream);
	const struct bb_upstream *up = bb_upstream(&sim->d->bb, cmd->upstream);

	*job = (struct job){cmd->req, cmd->stage, cmd->attempt, cmd->upstream, sim->now_us};
	g_ptr_array_add(sim->jobs, job);
	sim->sends++;
	sim->first_attempts += cmd->attempt == 0;
	if (sim->d->bb.links[up->dc].price_per_gb_cents > 0)
		sim->paid_bytes += BODY_BYTES;
	if (!core_may_send(sim->d, sim->now_us / 1000, cmd->req, cmd->stage, cmd->attempt)) {
		schedule(sim, sim->now_us, EV_DONE, job);
		return;
	}
	if (server->busy < warm_limit)
		start_job(sim, job);
	else
		g_queue_push_tail(&server->waiting, job);
}

static void cancel_job(struct sim *sim, const struct core_cmd *cmd)
{
	for (guint i = sim->jobs->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(sim->jobs, i - 1);
		if (job->req != cmd->req || job->stage != cmd->stage ||
		    job->attempt != cmd->attempt || job->ended)
			continue;
		if (!job->running)
			g_queue_remove(&server_of(sim, job->upstream)->waiting, job);
		/* a cancellation takes 1 ms to reach the upstream */
		schedule(sim, sim->now_us + 1000, EV_DONE, job);
		return;
	}
}

static void run_cmds(struct sim *sim);

static void handle(struct sim *sim, const struct core_event *ev)
{
	core_handle(sim->d, sim->now_us / 1000, ev, &sim->out);
	run_cmds(sim);
}

static void end_req(struct sim *sim, const struct core_cmd *cmd)
{
	int64_t arrived_us = g_array_index(sim->arrived_us, int64_t, cmd->req);
	int64_t took_us = sim->now_us - arrived_us;
	uint32_t class_index = g_array_index(sim->classes, uint32_t, cmd->req);

	if (arrived_us > sim->counted_us)
		return;
	if (cmd->type == CORE_CMD_FINISH && took_us <= DEADLINE_MS * 1000)
		sim->in_time[class_index]++;
	if (cmd->type == CORE_CMD_REFUSE) {
		sim->refusals++;
		sim->refused_us += took_us;
	}
}

static void run_cmds(struct sim *sim)
{
	struct core_out todo = sim->out;

	core_out_init(&sim->out);
	for (guint i = 0; i < todo.cmds->len; i++) {
		const struct core_cmd *cmd = &g_array_index(todo.cmds, struct core_cmd, i);

		if (cmd->type == CORE_CMD_SEND)
			send_job(sim, cmd);
		else if (cmd->type == CORE_CMD_CANCEL)
			cancel_job(sim, cmd);
		else if (cmd->type == CORE_CMD_FINISH || cmd->type == CORE_CMD_REFUSE)
			end_req(sim, cmd);
	}
	core_out_free(&todo);
}

static void end_job(struct sim *sim, struct job *job)
{
	struct server *server = server_of(sim, job->upstream);
	struct core_event ev = {.type = CORE_EV_RESULT};
	struct req *req = g_hash_table_lookup(sim->d->reqs, &job->req);

	if (job->ended)
		return;
	job->ended = true;
	if (job->running) {
		server->busy--;
		struct job *next = g_queue_pop_head(&server->waiting);
		if (next)
			start_job(sim, next);
	}
	bool wanted = req && req->stage == job->stage &&
		      req->attempts[job->attempt].state == REQ_ATTEMPT_SENT;
	ev.u.attempt = (struct core_ev_attempt){
		.req = job->req,
		.stage = job->stage,
		.attempt = job->attempt,
		.code = wanted ? ERR_NONE : ERR_UPSTREAM_BROKEN,
		.sent = true,
		.latency_us = sim->now_us - job->sent_us,
		.bytes = BODY_BYTES,
	};
	handle(sim, &ev);
}

static void arrive(struct sim *sim, double per_s)
{
	struct core_event ev = {.type = CORE_EV_REQUEST};
	uint64_t id = sim->arrived_us->len;
	double draw = gsl_rng_uniform(sim->rng);
	uint32_t class_index = draw < class_share[0]			? 0
			       : draw < class_share[0] + class_share[1] ? 1
									: 2;

	g_array_append_val(sim->arrived_us, sim->now_us);
	g_array_append_val(sim->classes, class_index);
	sim->arrivals[class_index] += sim->now_us <= sim->counted_us;
	ev.u.request = (struct core_ev_request){
		.id = id,
		.pipeline = 0,
		.service = -1,
		.account = (int)class_index,
		.body_bytes = BODY_BYTES,
		.prefix_hash = gsl_rng_uniform_int(sim->rng, 50) + 1,
	};
	handle(sim, &ev);
	schedule(sim, sim->now_us + (int64_t)gsl_ran_exponential(sim->rng, 1e6 / per_s), EV_ARRIVAL,
		 NULL);
}

static void run_events(struct sim *sim, const struct policy_doc *doc, double per_s, int64_t end_us)
{
	const struct core_event tick = {.type = CORE_EV_TICK};
	struct policy_doc changed = *doc;

	while (true) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct event ev = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		if (ev.at_us > end_us)
			return;
		sim->now_us = ev.at_us;
		if (ev.kind == EV_ARRIVAL) {
			arrive(sim, per_s);
		} else if (ev.kind == EV_DONE) {
			end_job(sim, ev.job);
		} else {
			int32_t out = sim->fault == FAULT_OUT && ev.at_us > end_us / 3 &&
						      ev.at_us < end_us * 2 / 3
					      ? 1
					      : -1;
			if (out != changed.out) {
				changed.out = out;
				policy_doc_apply(sim->d, &changed, sim->now_us / 1000);
			}
			handle(sim, &tick);
			schedule(sim, sim->now_us + TICK_US, EV_TICK, NULL);
		}
	}
}

/* Returns the requests per second that the engines can serve; they are the bottleneck. */
static double capacity_per_s(void)
{
	return engines * warm_limit / ENGINE_S;
}

static struct figures run(const char *policy, double load, enum fault fault, uint64_t seed,
			  int64_t seconds)
{
	const struct policy_doc doc = {
		.policy = policy,
		.data_centres = 3,
		.services = STAGES,
		.upstreams = POOL_UPSTREAMS,
		.engines = engines,
		.warm_limit = warm_limit,
		.pipelines = 1,
		.accounts = 3,
		.deadline_ms = DEADLINE_MS,
		.cost_weight_pct = 1000000,
		.out = -1,
	};
	struct sim sim = {
		.d = policy_doc_start(&doc, seed, 0),
		.rng = gsl_rng_alloc(gsl_rng_mt19937),
		.events = g_sequence_new(g_free),
		.servers = g_array_new(FALSE, TRUE, sizeof(struct server)),
		.jobs = g_ptr_array_new_with_free_func(g_free),
		.arrived_us = g_array_new(FALSE, FALSE, sizeof(int64_t)),
		.classes = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.fault = fault,
		.counted_us = seconds * 1000000 - DEADLINE_MS * 1000,
	};
	struct figures f;
	int64_t done = 0;

	gsl_rng_set(sim.rng, seed);
	g_array_set_size(sim.servers, sim.d->bb.upstreams->len);
	core_out_init(&sim.out);
	schedule(&sim, 0, EV_TICK, NULL);
	schedule(&sim, 0, EV_ARRIVAL, NULL);
	run_events(&sim, &doc, load * capacity_per_s(), seconds * 1000000);
	for (int i = 0; i < CLASSES; i++) {
		f.attained[i] = 100.0 * (double)sim.in_time[i] / (double)sim.arrivals[i];
		done += sim.in_time[i];
	}
	f.goodput = (double)done * 1e6 / (double)sim.counted_us;
	f.amplification = (double)sim.sends / (double)sim.first_attempts;
	f.paid_mb = sim.paid_bytes / 1e6 / (double)MAX(done, 1) * 1000;
	f.refused_ms = (double)sim.refused_us / 1000 / (double)MAX(sim.refusals, 1);
	for (guint i = 0; i < sim.servers->len; i++)
		g_queue_clear(&g_array_index(sim.servers, struct server, i).waiting);
	core_out_free(&sim.out);
	g_sequence_free(sim.events);
	g_array_unref(sim.servers);
	g_ptr_array_unref(sim.jobs);
	g_array_unref(sim.arrived_us);
	g_array_unref(sim.classes);
	gsl_rng_free(sim.rng);
	core_free(sim.d);
	return f;
}

/* Prints the median and the range of one figure over the seeds. */
static void print_figure(const struct figures *all, size_t n, size_t offset)
{
	double values[SEEDS_MAX];

	for (size_t i = 0; i < n; i++)
		memcpy(&values[i], (const char *)&all[i] + offset, sizeof(double));
	gsl_sort(values, 1, n);
	printf(" | %.2f (%.2f-%.2f)", gsl_stats_median_from_sorted_data(values, 1, n), values[0],
	       values[n - 1]);
}

static void print_runs(const char *policy, double load, enum fault fault, size_t seeds,
		       int64_t seconds)
{
	struct figures all[SEEDS_MAX];

	for (size_t i = 0; i < seeds; i++)
		all[i] = run(policy, load, fault, i + 1, seconds);
	printf("| %s | %.1f | %s", fault_names[fault], load, policy);
	for (size_t i = 0; i < sizeof(struct figures) / sizeof(double); i++)
		print_figure(all, seeds, i * sizeof(double));
	printf(" |\n");
	fflush(stdout);
}

int main(int argc, char **argv)
{
	size_t seeds = argc > 1 ? (size_t)atoi(argv[1]) : 5;
	int64_t seconds = argc > 2 ? atoi(argv[2]) : 30;

	if (argc > 4) {
		engines = (uint32_t)atoi(argv[3]);
		warm_limit = (uint32_t)atoi(argv[4]);
	}
	seeds = MIN(MAX(seeds, 1), SEEDS_MAX);
	printf("| fault | load | policy | class 0 in time %% | class 1 | class 2 | goodput /s | "
	       "attempts per stage | paid MB per 1000 answers | ms to a refusal |\n"
	       "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
	for (int fault = 0; fault < FAULTS; fault++) {
		for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
			print_runs("baseline", loads[i], fault, seeds, seconds);
			print_runs("adaptive", loads[i], fault, seeds, seconds);
		}
	}
	return 0;
}
