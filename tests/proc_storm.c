/*
 * A storm: random faults, two at a time, against a fleet of real processes under load. The
 * promises are judged from the emulator's log and from what callers saw, never from the system's
 * own counters. STORM_SEED and STORM_SECONDS change the run; `make storm` sets them.
 */
#include "base/clk.h"
#include "base/rnd.h"
#include "fleet.h"
#include "history.h"
#include "model/cfg.h"

#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define NODES 7
#define CALLERS 8
#define DEFAULT_SECONDS 20
#define TRIES_MAX 4
#define TEST_TIMEOUT_S 4000
#define SETTLE_MS 6000
#define WARM_UP_MS 5000
#define CALL_MS 5000 /* a caller waits a little longer than the deadline */
#define HOLD_LEAST_MS 1500
#define HOLD_SPREAD_MS 2500
#define PAUSE_MS 800

struct storm {
	struct fleet *fleet;
	struct cfg *cfg;
	uint64_t seed;
	int64_t until_ms;
	gint stop;
	struct history book;
	struct history_faults deeds;
	int64_t places_revision;
};

/* A fault: start and stop run on the fault thread; target is an index that both share. */
struct fault {
	const char *name;
	uint32_t (*targets)(const struct storm *s);
	void (*start)(struct storm *s, uint32_t target);
	void (*stop)(struct storm *s, uint32_t target);
	const char *json_on; /* of an upstream fault */
	const char *json_off;
};

static uint32_t node_targets(const struct storm *s)
{
	return NODES;
}

static uint32_t upstream_targets(const struct storm *s)
{
	return s->cfg->upstreams.n_items;
}

static uint32_t data_centre_targets(const struct storm *s)
{
	return s->cfg->places.n_data_centres;
}

static void kill_node(struct storm *s, uint32_t i)
{
	fleet_signal_node(s->fleet, i, SIGKILL);
}

static void start_node(struct storm *s, uint32_t i)
{
	fleet_start_node(s->fleet, i);
}

static void freeze_node(struct storm *s, uint32_t i)
{
	fleet_signal_node(s->fleet, i, SIGSTOP);
}

static void wake_node(struct storm *s, uint32_t i)
{
	fleet_signal_node(s->fleet, i, SIGCONT);
}

static void begin_window(struct storm *s, const char *vm, const char *data_centre)
{
	const struct history_exclusion window = {
		.vm = vm,
		.data_centre = data_centre,
		.from_ms = clk_now_ms(),
		.to_ms = INT64_MAX,
	};

	g_array_append_val(s->deeds.windows, window);
}

static void end_window(struct storm *s, const char *vm, const char *data_centre)
{
	for (guint i = 0; i < s->deeds.windows->len; i++) {
		struct history_exclusion *window =
			&g_array_index(s->deeds.windows, struct history_exclusion, i);

		if (window->to_ms == INT64_MAX && g_strcmp0(window->vm, vm) == 0 &&
		    g_strcmp0(window->data_centre, data_centre) == 0)
			window->to_ms = clk_now_ms();
	}
}

static void leave_vm(struct storm *s, uint32_t i)
{
	const struct cfg_upstream *up = &s->cfg->upstreams.items[i];

	fleet_set_vm_state(s->fleet, up->vm, up->data_centre, "leaving");
	begin_window(s, up->vm, NULL);
}

static void return_vm(struct storm *s, uint32_t i)
{
	const struct cfg_upstream *up = &s->cfg->upstreams.items[i];

	end_window(s, up->vm, NULL);
	fleet_set_vm_state(s->fleet, up->vm, up->data_centre, "live");
}

/* Publishes the places section with its next revision. */
static void set_in_service(struct storm *s, uint32_t i, bool in_service)
{
	const struct cfg_data_centre *dc = &s->cfg->places.data_centres[i];
	char *from = g_strdup_printf("{name: %s, region: %s, in_service: %s}", dc->name, dc->region,
				     in_service ? "false" : "true");
	char *to = g_strdup_printf("{name: %s, region: %s, in_service: %s}", dc->name, dc->region,
				   in_service ? "true" : "false");
	char *old = g_strdup_printf("places:\n  revision: %d\n", (int)s->places_revision++);
	char *new = g_strdup_printf("places:\n  revision: %d\n", (int)s->places_revision);

	fleet_edit_config2(s->fleet, from, to, old, new);
	g_free(from);
	g_free(to);
	g_free(old);
	g_free(new);
}

static void take_out(struct storm *s, uint32_t i)
{
	set_in_service(s, i, false);
	begin_window(s, NULL, s->cfg->places.data_centres[i].name);
}

static void bring_back(struct storm *s, uint32_t i)
{
	end_window(s, NULL, s->cfg->places.data_centres[i].name);
	set_in_service(s, i, true);
}

static void set_platform(struct storm *s, const char *json)
{
	fleet_put_control(s->fleet, "/control/platform", json_loads(json, 0, NULL));
}

static uint32_t platform_targets(const struct storm *s)
{
	return 1;
}

static void platform_down(struct storm *s, uint32_t i)
{
	set_platform(s, "{\"down\":true}");
}

static void platform_stale(struct storm *s, uint32_t i)
{
	set_platform(s, "{\"stale\":true}");
}

static void platform_up(struct storm *s, uint32_t i)
{
	set_platform(s, "{}");
}

/* Cuts what a node sends to all others and what they send to it. */
static void set_links(struct storm *s, uint32_t i, const char *to, const char *json)
{
	char *peer = g_strdup_printf("peer:%s", s->fleet->nodes[i].vm);

	fleet_set_link(s->fleet, s->fleet->nodes[i].source, to, json);
	fleet_set_link(s->fleet, "*", peer, json);
	g_free(peer);
}

static void cut_node(struct storm *s, uint32_t i)
{
	set_links(s, i, "*", "{\"black_hole\":true}");
}

static void slow_node(struct storm *s, uint32_t i)
{
	set_links(s, i, "*", "{\"delay_ms\":200,\"jitter_ms\":200}");
}

static void one_way_node(struct storm *s, uint32_t i)
{
	fleet_set_link(s->fleet, s->fleet->nodes[i].source, "*", "{\"one_way\":true}");
}

static void join_node(struct storm *s, uint32_t i)
{
	set_links(s, i, "*", "{}");
}

static void restart_upstream(struct storm *s, uint32_t i)
{
	const struct history_restart restart = {
		.upstream = s->cfg->upstreams.items[i].name,
		.at_ms = clk_now_ms(),
	};

	g_array_append_val(s->deeds.restarts, restart);
	fleet_set_upstream(s->fleet, restart.upstream, "{\"restart\":true}");
}

static void leave_restarted(struct storm *s, uint32_t i)
{
}

static const struct fault faults[] = {
	{"kill a node", node_targets, kill_node, start_node, NULL, NULL},
	{"freeze a node", node_targets, freeze_node, wake_node, NULL, NULL},
	{"a VM leaves", upstream_targets, leave_vm, return_vm, NULL, NULL},
	{"a data centre goes out", data_centre_targets, take_out, bring_back, NULL, NULL},
	{"the platform is down", platform_targets, platform_down, platform_up, NULL, NULL},
	{"the platform is stale", platform_targets, platform_stale, platform_up, NULL, NULL},
	{"a node is cut off", node_targets, cut_node, join_node, NULL, NULL},
	{"a node's links are slow", node_targets, slow_node, join_node, NULL, NULL},
	{"a node hears nothing", node_targets, one_way_node, join_node, NULL, NULL},
	{"an upstream restarts", upstream_targets, restart_upstream, leave_restarted, NULL, NULL},
	{"an upstream is down", upstream_targets, NULL, NULL, "{\"down\":true}",
	 "{\"down\":false}"},
	{"an upstream closes after reading", upstream_targets, NULL, NULL,
	 "{\"drop_after_read\":true}", "{\"drop_after_read\":false}"},
	{"an upstream fails", upstream_targets, NULL, NULL, "{\"fail_pct\":50}",
	 "{\"fail_pct\":0}"},
	{"an upstream straggles", upstream_targets, NULL, NULL,
	 "{\"straggle_pct\":30,\"straggle_ms\":1500}", "{\"straggle_pct\":0}"},
	{"an upstream cuts answers", upstream_targets, NULL, NULL, "{\"cut_after_bytes\":5}",
	 "{\"cut_after_bytes\":null}"},
	{"an upstream mixes up answers", upstream_targets, NULL, NULL, "{\"wrong_request\":true}",
	 "{\"wrong_request\":false}"},
};

static void apply(struct storm *s, const struct fault *fault, uint32_t target, bool on)
{
	printf("storm %6d ms: %s %s %u\n", (int)(s->until_ms - clk_now_ms()),
	       on ? "begin" : "end  ", fault->name, target);
	if (!fault->json_on)
		(on ? fault->start : fault->stop)(s, target);
	else
		fleet_set_upstream(s->fleet, s->cfg->upstreams.items[target].name,
				   on ? fault->json_on : fault->json_off);
}

static bool is_platform(const struct fault *fault)
{
	return fault->targets == platform_targets;
}

static bool is_news(const struct fault *fault)
{
	return fault->start == leave_vm || fault->start == take_out;
}

/* Two faults that overlap, each started and ended at random times. */
static void strike(struct storm *s, struct rnd *rnd)
{
	const struct fault *a = &faults[rnd_below(rnd, G_N_ELEMENTS(faults))];
	const struct fault *b = &faults[rnd_below(rnd, G_N_ELEMENTS(faults))];
	uint32_t target_a;
	uint32_t target_b;

	/* what the platform does not say nobody can know: such a pair proves nothing */
	while (is_platform(a) && (is_platform(b) || is_news(b)))
		b = &faults[rnd_below(rnd, G_N_ELEMENTS(faults))];
	while (is_platform(b) && (is_platform(a) || is_news(a)))
		a = &faults[rnd_below(rnd, G_N_ELEMENTS(faults))];
	target_a = (uint32_t)rnd_below(rnd, a->targets(s));
	target_b = (uint32_t)rnd_below(rnd, b->targets(s));
	/* two faults of nodes go to different ones, else one would undo the other */
	if (a->targets == b->targets && target_a == target_b)
		target_b = (target_b + 1) % b->targets(s);
	apply(s, a, target_a, true);
	clk_sleep_ms((int64_t)rnd_below(rnd, PAUSE_MS));
	apply(s, b, target_b, true);
	clk_sleep_ms(HOLD_LEAST_MS + (int64_t)rnd_below(rnd, HOLD_SPREAD_MS));
	apply(s, a, target_a, false);
	apply(s, b, target_b, false);
	clk_sleep_ms((int64_t)rnd_below(rnd, PAUSE_MS));
}

static void send_booking(struct storm *s, struct hcl *http, struct rnd *rnd,
			 struct history_request *entry)
{
	struct fleet_answer answer;
	char *ticket = fleet_try_get_ticket(s->fleet, http, (uint32_t)rnd_below(rnd, NODES));

	if (!ticket) {
		g_strlcpy(entry->code, "no ticket", sizeof(entry->code));
		return;
	}
	/* a caller without an answer asks again, elsewhere, with the same ticket */
	for (int i = 0; i < TRIES_MAX && !entry->complete && !entry->refused; i++) {
		const struct fleet_request request = {.path = "/v1/services/weighbridge/book",
						      .body = entry->body,
						      .ticket = ticket,
						      .deadline_ms = "3000",
						      .timeout_ms = CALL_MS};
		fleet_send_with(s->fleet, http, (uint32_t)rnd_below(rnd, NODES), &request, &answer);
		history_note_answer(entry, &answer);
		fleet_answer_clear(&answer);
	}
	g_free(ticket);
}

static void send_once(struct storm *s, struct hcl *http, struct rnd *rnd,
		      struct history_request *entry)
{
	const struct fleet_request request = {
		.path = entry->kind == HISTORY_PIPELINE ? "/v1/pipelines/advise"
							: "/v1/services/weighbridge/lookup",
		.body = entry->body,
		.timeout_ms = CALL_MS,
	};
	struct fleet_answer answer;

	fleet_send_with(s->fleet, http, (uint32_t)rnd_below(rnd, NODES), &request, &answer);
	history_note_answer(entry, &answer);
	fleet_answer_clear(&answer);
}

struct caller {
	struct storm *storm;
	uint32_t index;
	pthread_t thread;
};

static void *call(void *arg)
{
	const struct caller *caller = arg;
	struct storm *s = caller->storm;
	struct rnd rnd = {.state = s->seed * CALLERS + caller->index};
	struct hcl *http = hcl_new(NULL);

	for (uint32_t n = 0; !g_atomic_int_get(&s->stop); n++) {
		struct history_request *entry = history_request(
			&s->book, caller->index, n, (int)rnd_below(&rnd, HISTORY_KINDS));

		if (entry->kind == HISTORY_BOOKING)
			send_booking(s, http, &rnd, entry);
		else
			send_once(s, http, &rnd, entry);
	}
	hcl_free(http);
	return NULL;
}

static int64_t env_number(const char *name, int64_t fallback)
{
	const char *text = g_getenv(name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static struct cfg *parse_config(struct fleet *f)
{
	GPtrArray *faults = sch_faults_new();
	char *text = fleet_get_config(f);
	struct cfg *cfg = cfg_parse(text, strlen(text), faults);

	ck_assert_ptr_nonnull(cfg);
	g_ptr_array_unref(faults);
	g_free(text);
	return cfg;
}

static void blow(struct storm *s, int64_t seconds)
{
	struct rnd rnd = {.state = s->seed};
	struct caller callers[CALLERS];

	s->until_ms = clk_now_ms() + seconds * CLK_MS_PER_S + WARM_UP_MS;
	for (uint32_t i = 0; i < CALLERS; i++) {
		callers[i] = (struct caller){.storm = s, .index = i};
		pthread_create(&callers[i].thread, NULL, call, &callers[i]);
	}
	clk_sleep_ms(WARM_UP_MS);
	while (clk_now_ms() < s->until_ms)
		strike(s, &rnd);
	clk_sleep_ms(SETTLE_MS);
	g_atomic_int_set(&s->stop, 1);
	for (uint32_t i = 0; i < CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	/* copies of requests that still sit somewhere would run now */
	clk_sleep_ms(SETTLE_MS);
}

START_TEST(holds_promises)
{
	struct storm s = {.seed = (uint64_t)env_number("STORM_SEED", 1)};
	int64_t seconds = env_number("STORM_SECONDS", DEFAULT_SECONDS);

	printf("storm seed %d, %d s\n", (int)s.seed, (int)seconds);
	s.fleet = fleet_new_proxied("association.yaml", NODES, true);
	s.cfg = parse_config(s.fleet);
	s.places_revision = cfg_revision(s.cfg, CFG_PLACES);
	s.deeds.windows = g_array_new(FALSE, FALSE, sizeof(struct history_exclusion));
	s.deeds.restarts = g_array_new(FALSE, FALSE, sizeof(struct history_restart));
	history_init(&s.book);
	blow(&s, seconds);
	json_t *log = fleet_get_log(s.fleet);
	int broken = history_verify(&s.book, log, &s.deeds, s.cfg);
	ck_assert_msg(broken == 0, "%d promises broken, seed %d", broken, (int)s.seed);
	json_decref(log);
	history_clear(&s.book);
	g_array_unref(s.deeds.windows);
	g_array_unref(s.deeds.restarts);
	cfg_unref(s.cfg);
	fleet_free(s.fleet);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("storm");
	TCase *tcase = tcase_create("storm");
	SRunner *runner = srunner_create(suite);
	int failed;

	/* a failed check ends the child without a flush */
	setvbuf(stdout, NULL, _IOLBF, 0);
	suite_add_tcase(suite, tcase);
	tcase_set_timeout(tcase, TEST_TIMEOUT_S);
	tcase_add_test(tcase, holds_promises);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
