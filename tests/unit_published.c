/* What the adapter reads: configurations, entries, requests, answers; and what is wrong with a
 * document. */
#include "run_tests.h"

#include "model/pub_check.h"
#include "plf.h"

#include <string.h>

#define DOC(routes, services, accounts)                                                            \
	"{\"version\":3,\"routes\":[" routes "],\"services\":[" services                           \
	"],\"tenants\":[" accounts "]}"
#define PLAIN "{\"name\":\"p\",\"healthPath\":\"/h\",\"maxConns\":9}"
#define POOL                                                                                       \
	"{\"name\":\"q\",\"pieces\":{\"slots\":1,\"batchSize\":4,\"callMs\":200,\"headroomMb\":2}" \
	"}"
#define ROUTE(more)                                                                                \
	"{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"kind\":\"idempotent\","           \
	"\"timeoutMs\":100,\"maxAttempts\":2" more "}"

static const struct {
	const char *text;
	const char *fault; /* a part of the first; NULL: none; "": it can't be read */
} docs[] = {
	{DOC(ROUTE(",\"service\":\"p\""), PLAIN, ""), NULL},
	{DOC(ROUTE(",\"split\":[{\"service\":\"p\",\"weight\":9},{\"service\":\"p\",\"weight\":1}"
		   "]"),
	     PLAIN, ""),
	 NULL},
	{DOC(ROUTE(",\"service\":\"p\",\"stages\":[{\"service\":\"q\",\"after\":[]},{\"service\":"
		   "\"q\","
		   "\"after\":[0]}]"),
	     PLAIN "," POOL, ""),
	 NULL},
	{DOC(ROUTE(",\"service\":\"x\""), PLAIN, ""), "not published"},
	{DOC(ROUTE(",\"split\":[{\"service\":\"p\",\"weight\":0}]"), PLAIN, ""), "no weight"},
	{DOC(ROUTE(",\"service\":\"p\",\"stages\":[{\"service\":\"p\",\"after\":[]}]"), PLAIN, ""),
	 "no pool"},
	{DOC(ROUTE(",\"service\":\"p\",\"stages\":[{\"service\":\"q\",\"after\":[0]}]"),
	     PLAIN "," POOL, ""),
	 "later one"},
	{DOC("", PLAIN,
	     "{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\",\"apiKeys\":[\"k\"]}"),
	 "stands twice"},
	{DOC("{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"a/"
	     "\",\"service\":\"p\",\"timeoutMs\":1}",
	     PLAIN, ""),
	 "slash"},
	{"{\"routes\":[],\"services\":[]}", ""},
	{DOC("{\"name\":3}", PLAIN, ""), ""},
	{"[]", ""},
	{"{", ""},
};

START_TEST(documents)
{
	for (size_t i = 0; i < G_N_ELEMENTS(docs); i++) {
		char *why = NULL;
		struct pub_doc *doc =
			plf_ops.feed->read_doc(docs[i].text, strlen(docs[i].text), &why);
		GPtrArray *faults;
		ck_assert_msg((doc == NULL) == (docs[i].fault && docs[i].fault[0] == '\0'),
			      "case %zu: %s", i, why ? why : "read");
		g_free(why);
		if (!doc)
			continue;
		faults = pub_check(doc);
		if (docs[i].fault)
			ck_assert_msg(faults->len > 0 && strstr(faults->pdata[0], docs[i].fault),
				      "case %zu: %u faults", i, faults->len);
		else
			ck_assert_msg(faults->len == 0, "case %zu: %s", i,
				      (char *)faults->pdata[0]);
		g_ptr_array_unref(faults);
		pub_doc_unref(doc);
	}
}
END_TEST

static const struct {
	const char *host;
	const char *path;
	const char *route; /* NULL: none */
} ways[] = {
	{"h", "/a/x", "short"},	  {"h", "/a/b/x", "long"}, {"H", "/a/b/", "long"},
	{"h", "/a/bx/", "short"}, {"i", "/a/x", NULL},	   {"h", "/ax", NULL},
	{"h", "/", NULL},
};

START_TEST(longest_prefix)
{
	static const char text[] =
		DOC("{\"name\":\"short\",\"host\":\"h\",\"pathPrefix\":\"/a/\",\"service\":\"p\"},"
		    "{\"name\":\"long\",\"host\":\"h\",\"pathPrefix\":\"/a/b/\",\"service\":\"p\"}",
		    PLAIN, "");
	struct pub_doc *doc = plf_ops.feed->read_doc(text, strlen(text), NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		const struct pub_route *r = pub_find_route(doc, ways[i].host, ways[i].path);
		ck_assert_msg((r == NULL) == (ways[i].route == NULL) &&
				      (!r || strcmp(r->name, ways[i].route) == 0),
			      "%s%s", ways[i].host, ways[i].path);
	}
	pub_doc_unref(doc);
}
END_TEST

START_TEST(requests)
{
	struct hdr_list in = {0};
	struct adp_ask ask;

	hdr_add(&in, "x-currantscale-attempt-id", "id");
	hdr_add(&in, "X-Currantscale-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
	hdr_add(&in, "X-Currantscale-Token-Usage", "1460,80");
	hdr_add(&in, "X-Currantscale-Pieces", "0,3,12");
	hdr_add(&in, "X-Currantscale-Deadline-Ms", "8000");
	plf_ops.caller->read_ask(&in, &ask);
	ck_assert_str_eq(ask.attempt, "id");
	ck_assert_uint_eq(ask.n_parts, 3);
	ck_assert_uint_eq(ask.parts[1].id, 0x91bd3f06);
	ck_assert_int_eq(ask.parts[2].tokens, 250);
	ck_assert_int_eq(ask.tokens_in, 1460);
	ck_assert_int_eq(ask.tokens_out_max, 80);
	ck_assert_uint_eq(ask.n_pieces, 3);
	ck_assert_uint_eq(ask.pieces[2], 12);
	ck_assert_int_eq(ask.deadline_ms, 8000);
	ck_assert_int_eq(ask.last_event, -1);
	hdr_clear(&in);
	hdr_add(&in, "X-Currantscale-Prompt-Prefix", "zz:1,:,5:");
	hdr_add(&in, "X-Currantscale-Pieces", "a,b");
	hdr_add(&in, "X-Currantscale-Deadline-Ms", "soon");
	plf_ops.caller->read_ask(&in, &ask);
	ck_assert_uint_eq(ask.n_parts, 0);
	ck_assert_uint_eq(ask.n_pieces, 0);
	ck_assert_int_eq(ask.deadline_ms, 0);
	hdr_clear(&in);
}
END_TEST

/* Of what the caller sent, an engine gets neither the connection's fields nor the system's. */
START_TEST(forwards)
{
	static const char *const inputs[] = {"a/1", "b/2", NULL};
	const struct adp_forward forward = {.upstream_id = "e",
					    .account = "acc",
					    .deadline_ms = 77,
					    .urgency = 3,
					    .inputs = inputs,
					    .last_event = 5};
	static const char *const taken[] = {"Connection", "X-Hop",
					    "Kv-From",	  "X-Currantscale-Key",
					    "Expect",	  "X-Currantscale-Kv-Hold"};
	struct hdr_list in = {0};
	struct hdr_list out = {0};

	hdr_add(&in, "Host", "h");
	for (size_t i = 0; i < G_N_ELEMENTS(taken); i++)
		hdr_add(&in, taken[i], i == 0 ? "close, X-Hop" : "v");
	hdr_add(&in, "X-Currantscale-Tenant", "forged");
	hdr_add(&in, "X-Other", "kept");
	plf_ops.upstream->forward(&in, &forward, "10.0.0.1:1", &out);
	for (size_t i = 0; i < G_N_ELEMENTS(taken); i++)
		ck_assert_msg(hdr_get(&out, taken[i]) == NULL, "%s", taken[i]);
	ck_assert_str_eq(hdr_get(&out, "X-Currantscale-Tenant"), "acc");
	ck_assert_str_eq(hdr_get(&out, "X-Currantscale-Inputs"), "a/1,b/2");
	ck_assert_str_eq(hdr_get(&out, "X-Currantscale-Deadline-Ms"), "77");
	ck_assert_str_eq(hdr_get(&out, "X-Currantscale-Expect-Instance"), "e");
	ck_assert_str_eq(hdr_get(&out, "Last-Event-Id"), "5");
	ck_assert_str_eq(hdr_get(&out, "X-Other"), "kept");
	ck_assert_str_eq(hdr_get(&out, "Host"), "h");
	hdr_clear(&in);
	hdr_clear(&out);
}
END_TEST

static const struct {
	const char *text;
	uint32_t n;
	bool good;
	enum adp_piece_fault first;
} replies[] = {
	{"{\"items\":[{\"handle\":\"a/1\"},{\"reason\":\"gone\"}]}", 2, true, ADP_PIECE_OK},
	{"{\"items\":[{\"reason\":\"room\"}]}", 1, true, ADP_PIECE_ROOM},
	{"{\"items\":[{\"reason\":\"odd\"}]}", 1, true, ADP_PIECE_ERROR},
	{"{\"items\":[{\"handle\":\"a/1\"}]}", 2, false, ADP_PIECE_OK},
	{"{\"items\":3}", 1, false, ADP_PIECE_OK},
	{"no", 1, false, ADP_PIECE_OK},
};

START_TEST(results)
{
	for (size_t i = 0; i < G_N_ELEMENTS(replies); i++) {
		struct adp_result results[2] = {0};
		bool good = plf_ops.upstream->run_reply(replies[i].text, strlen(replies[i].text),
							results, replies[i].n);
		ck_assert_msg(good == replies[i].good, "case %zu", i);
		if (good)
			ck_assert_int_eq(results[0].fault, replies[i].first);
		g_free(results[0].handle);
		g_free(results[1].handle);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {documents, longest_prefix, requests, forwards, results};

	return run_tests("unit_published", tests, G_N_ELEMENTS(tests));
}
