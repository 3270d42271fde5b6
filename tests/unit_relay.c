/* Choice of the node that serves a request in place of one that reaches no upstream. */
#include "run_tests.h"

#include "decide/relay.h"
#include "platform.h"

#include <glib.h>

#define NODES_MAX 6
#define DRAWS 4000

#define UP .alive = true, .ready = true
#define NEAR .data_centre = "r1", .region = "r"
#define SAME_REGION .data_centre = "r2", .region = "r"
#define FAR .data_centre = "q1", .region = "q"
#define FARTHER .data_centre = "p1", .region = "p"

static char *const only_r[] = {(char *)"r", NULL};
static char *const only_q[] = {(char *)"q", NULL};
static char *const q_and_p[] = {(char *)"q", (char *)"p", NULL};
static char *const none[] = {NULL};

/* This node is in data centre r1 of region r. */
static const struct {
	const char *what;
	struct relay_candidate nodes[NODES_MAX];
	uint32_t n;
	char *const *regions;
	const char *tried;
	const char *chosen; /* first letters of the addresses among which it chooses; "": none */
} choices[] = {
	{"no other node", {{0}}, 0, NULL, NULL, ""},
	{"nearest first",
	 {{"a", FAR, UP}, {"b", SAME_REGION, UP}, {"c", NEAR, UP}},
	 3,
	 .chosen = "c"},
	{"the order doesn't matter",
	 {{"c", NEAR, UP}, {"b", SAME_REGION, UP}, {"a", FAR, UP}},
	 3,
	 .chosen = "c"},
	{"the region before others", {{"a", FAR, UP}, {"b", SAME_REGION, UP}}, 2, .chosen = "b"},
	{"others at last", {{"a", FAR, UP}, {"b", FARTHER, UP}}, 2, .chosen = "ab"},
	{"any of equals",
	 {{"a", NEAR, UP}, {"b", SAME_REGION, UP}, {"c", NEAR, UP}, {"d", NEAR, UP}},
	 4,
	 .chosen = "acd"},
	{"not a silent one", {{"a", NEAR, .ready = true}, {"b", FAR, UP}}, 2, .chosen = "b"},
	{"not one that isn't ready",
	 {{"a", NEAR, .alive = true}, {"b", FAR, UP}},
	 2,
	 .chosen = "b"},
	{"not one that leaves",
	 {{"a", NEAR, UP, .leaving = true}, {"b", FAR, UP}},
	 2,
	 .chosen = "b"},
	{"not an isolated one",
	 {{"a", NEAR, UP, .isolated = true}, {"b", FAR, UP}},
	 2,
	 .chosen = "b"},
	{"not one that refused to connect",
	 {{"a", NEAR, UP, .avoided = true}, {"b", FAR, UP}},
	 2,
	 .chosen = "b"},
	{"all isolated",
	 {{"a", NEAR, UP, .isolated = true}, {"b", FAR, UP, .isolated = true}},
	 2,
	 .chosen = ""},
	{"not the one tried before",
	 {{"a", NEAR, UP}, {"b", FAR, UP}},
	 2,
	 .tried = "a",
	 .chosen = "b"},
	{"no one else to try", {{"a", NEAR, UP}}, 1, .tried = "a", .chosen = ""},
	{"allowed in this region alone",
	 {{"a", FAR, UP}, {"b", SAME_REGION, UP}},
	 2,
	 only_r,
	 NULL,
	 "b"},
	{"allowed in another region alone",
	 {{"a", NEAR, UP}, {"b", SAME_REGION, UP}, {"c", FAR, UP}, {"d", FARTHER, UP}},
	 4,
	 only_q,
	 NULL,
	 "c"},
	{"allowed in two others",
	 {{"a", NEAR, UP}, {"c", FAR, UP}, {"d", FARTHER, UP}},
	 3,
	 q_and_p,
	 NULL,
	 "cd"},
	{"nobody in its regions", {{"a", NEAR, UP}, {"b", FARTHER, UP}}, 2, only_q, NULL, ""},
	{"isolated in its regions",
	 {{"a", NEAR, UP}, {"b", FAR, UP, .isolated = true}},
	 2,
	 only_q,
	 NULL,
	 ""},
	{"allowed nowhere", {{"a", NEAR, UP}, {"b", FAR, UP}}, 2, none, NULL, ""},
};

static const char *choose(size_t i, struct prng *prng)
{
	const struct relay_query query = {
		.data_centre = "r1",
		.region = "r",
		.regions = choices[i].regions,
		.tried = choices[i].tried,
	};
	struct relay_choice choice;

	relay_choice_init(&choice);
	for (uint32_t k = 0; k < choices[i].n; k++)
		relay_choice_add(&choice, &query, &choices[i].nodes[k], prng);
	return choice.address ? choice.address : "";
}

/* Guards against relaying to a node that can't serve, outside the regions, and unevenly. */
START_TEST(chooses_the_nearest)
{
	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		size_t n = strlen(choices[i].chosen);
		uint32_t counts[256] = {0};
		struct prng prng = {.state = 1};

		for (uint32_t k = 0; k < DRAWS; k++) {
			const char *address = choose(i, &prng);
			ck_assert_msg((n == 0) == (*address == '\0') &&
					      strchr(choices[i].chosen, *address),
				      "%s: chose '%s'", choices[i].what, address);
			counts[(unsigned char)*address]++;
		}
		for (size_t k = 0; k < n; k++) {
			uint32_t count = counts[(unsigned char)choices[i].chosen[k]];
			ck_assert_msg(count > DRAWS / n * 8 / 10, "%s: chose '%c' %u times",
				      choices[i].what, choices[i].chosen[k], count);
		}
	}
}
END_TEST

static const struct {
	struct relay_progress progress;
	bool allowed;
} progresses[] = {
	{{0}, true},
	{{.is_relayed = true}, false},
	{{.runs = 1}, false},
	{{.active = 1}, false},
	{{.response_started = true}, false},
};

/* Guards against circles, and against a second run of what another upstream may have run. */
START_TEST(relays_what_cannot_have_run)
{
	for (size_t i = 0; i < G_N_ELEMENTS(progresses); i++)
		ck_assert_msg(relay_is_allowed(&progresses[i].progress) == progresses[i].allowed,
			      "case %zu", i);
}
END_TEST

/* Fields of a caller's request, and whether another node and an upstream get them. */
static const struct {
	const char *name;
	const char *value;
	const char *at_node; /* NULL: left out */
	const char *at_upstream;
} fields[] = {
	{"Host", "h.example", "h.example", "h.example"},
	{"X-Currantscale-Attempt-Id", "a", "a", "a"},
	{"X-Currantscale-Key", "k", "k", NULL},
	{"X-Currantscale-Deadline-Ms", "5000", "4100", "4000"},
	{"X-Currantscale-Model", "m", "m", "m"},
	{"X-Currantscale-Pieces", "1,2", "1,2", "1,2"},
	{"Last-Event-Id", "7", "7", NULL},
	{"Resumes", "b", "b", NULL},
	{"Currantscale-Relayed-By", "node-9", "node-1", NULL},
	{"Content-Type", "text/plain", "text/plain", "text/plain"},
	{"Connection", "close, X-Hop", NULL, NULL},
	{"X-Hop", "1", NULL, NULL},
	{"Content-Length", "3", NULL, NULL},
	{"Expect", "100-continue", NULL, NULL},
};

static uint32_t count_fields(const struct hdr_list *headers, const char *name)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < headers->n; i++)
		n += g_ascii_strcasecmp(headers->at[i].name, name) == 0;
	return n;
}

static void check_field(const struct hdr_list *headers, const char *name, const char *value)
{
	const char *is = hdr_get(headers, name);

	ck_assert_msg(g_strcmp0(is, value) == 0 && count_fields(headers, name) == (value ? 1 : 0),
		      "%s: '%s' instead of '%s'", name, is ? is : "", value ? value : "");
}

/* Guards against requests that reach another node changed, and marks that reach upstreams. */
START_TEST(copies_fields)
{
	const struct adapter_relay relay = {.vm = "node-1", .deadline_ms = 4100};
	const struct adapter_forward forward = {
		.upstream_id = "u", .deadline_ms = 4000, .urgency = -1, .last_event = -1};
	struct hdr_list in = {0};
	struct hdr_list at_node = {0};
	struct hdr_list at_upstream = {0};
	struct adapter_request request;

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		hdr_add(&in, fields[i].name, fields[i].value);
	platform_ops.caller->relay(&in, &relay, &at_node);
	platform_ops.upstream->forward(&in, &forward, "127.0.0.1:1", &at_upstream);
	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		check_field(&at_node, fields[i].name, fields[i].at_node);
		check_field(&at_upstream, fields[i].name, fields[i].at_upstream);
	}
	platform_ops.caller->parse_request(&at_node, &request);
	ck_assert_str_eq(request.relayed_by, "node-1");
	ck_assert_int_eq(request.deadline_ms, 4100);
	hdr_clear(&in);
	hdr_clear(&at_node);
	hdr_clear(&at_upstream);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {chooses_the_nearest, relays_what_cannot_have_run,
				      copies_fields};

	return run_tests("unit_relay", tests, G_N_ELEMENTS(tests));
}
