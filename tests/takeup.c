#include "takeup.h"

#include "base/clock.h"
#include "stream.h"

#include <stdio.h>
#include <string.h>

#define EVENTS 6
#define TRIES 3
#define LEAVE_EVENTS 3 /* most events of a try after which a caller leaves */
#define PAUSE_MS 30
#define SETTLE_MS 500	/* until nodes in touch know of a change */
#define MIXED_MAX 2	/* streams with events of two versions */
#define TAKEN_UP_MIN 12 /* fewer say nothing of the share that goes on */
#define SHARE_MIN 0.5	/* of the share of new streams that begin */
#define UPSTREAMS_MIN 2 /* of a version, whose streams have to go on */

struct tally {
	uint32_t tries;
	uint32_t served; /* an event came, or the end after the last one */
};

static struct {
	const char *id;
	const char *version;
	bool is_published;
	bool is_faulty;
} upstreams[] = {
	{"model-1", "v1", true, false},
	{"model-2", "v1", true, false},
	{"model-3", "v2", false, false},
	{"model-4", "v2", false, false},
};

static struct cluster *c;
static GMutex lock;			   /* guards all that follows, and upstreams */
static int64_t node_ms[CLUSTER_NODES_MAX]; /* end of the last disturbance; INT64_MAX: goes on */
static int64_t source_ms;		   /* the same */
static int64_t upstreams_ms;		   /* when the upstreams last changed */
static struct tally begun;
static struct tally taken_up;
static uint32_t n_mixed;
static uint32_t n_disordered;

void takeup_start(struct cluster *cluster)
{
	c = cluster;
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		const struct stub_engine_options options = {
			.id = upstreams[i].id,
			.service = "model",
			.zone = i % 2 ? "b1" : "a1",
			.kind = STUB_STREAM,
			.work_ms = 20,
			.gap_ms = 20,
			.events = EVENTS,
			.version = upstreams[i].version,
		};
		if (upstreams[i].is_published)
			continue; /* one of the cluster's own */
		stub_add_engine(c->stub, &options);
		stub_publish(c->stub, upstreams[i].id, NULL);
	}
}

static void publish(size_t i, bool is_published)
{
	upstreams[i].is_published = is_published;
	stub_publish(c->stub, upstreams[i].id, is_published ? "ready" : NULL);
}

static void restart(size_t i, const char *version)
{
	upstreams[i].version = version;
	upstreams[i].is_published = true;
	stub_set_version(c->stub, upstreams[i].id, version, true);
}

void takeup_change_versions(struct prng *prng)
{
	size_t i = prng_below(prng, G_N_ELEMENTS(upstreams));

	g_mutex_lock(&lock);
	if (prng_below(prng, 2) == 0)
		publish(i, !upstreams[i].is_published);
	else
		restart(i, strcmp(upstreams[i].version, "v1") == 0 ? "v2" : "v1");
	upstreams_ms = clock_now_ms();
	g_mutex_unlock(&lock);
}

void takeup_restore_versions(void)
{
	g_mutex_lock(&lock);
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		restart(i, i < UPSTREAMS_MIN ? "v1" : "v2");
		upstreams[i].is_faulty = false;
		stub_set_fault(c->stub, upstreams[i].id, STUB_FAULT_NONE);
	}
	upstreams_ms = clock_now_ms();
	g_mutex_unlock(&lock);
}

void takeup_note_node(uint32_t node, bool is_running)
{
	g_mutex_lock(&lock);
	node_ms[node] = is_running ? clock_now_ms() : INT64_MAX;
	g_mutex_unlock(&lock);
}

void takeup_note_source(bool answers)
{
	g_mutex_lock(&lock);
	source_ms = answers ? clock_now_ms() : INT64_MAX;
	g_mutex_unlock(&lock);
}

void takeup_note_fault(const char *id, bool is_faulty)
{
	g_mutex_lock(&lock);
	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
		if (strcmp(upstreams[i].id, id) != 0)
			continue;
		upstreams[i].is_faulty = is_faulty;
		upstreams_ms = clock_now_ms();
	}
	g_mutex_unlock(&lock);
}

static uint32_t count_serving(const char *version)
{
	uint32_t n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(upstreams); i++)
		n += upstreams[i].is_published && !upstreams[i].is_faulty &&
		     strcmp(upstreams[i].version, version) == 0;
	return n;
}

/* Returns whether a try that ends now, at this node, tells what share of streams is served. */
static bool counts(const struct stream *st, uint32_t node, const char *version)
{
	int64_t in_touch_ms = st->sent_ms - TAKEUP_CONTACT_MS;

	return node_ms[node] < in_touch_ms && source_ms < in_touch_ms &&
	       upstreams_ms < st->sent_ms - SETTLE_MS && count_serving(version) >= UPSTREAMS_MIN;
}

static void add_try(struct tally *t, const struct stream *st)
{
	t->tries++;
	t->served += st->n_events > 0 || st->is_whole;
}

static void note_try(const struct stream *st, uint32_t node, bool is_new)
{
	g_mutex_lock(&lock);
	if (is_new && counts(st, node, "v1") && counts(st, node, "v2"))
		add_try(&begun, st);
	else if (!is_new && counts(st, node, st->version))
		add_try(&taken_up, st);
	g_mutex_unlock(&lock);
}

static void note_stream(const struct stream *st)
{
	bool is_disordered = st->is_disordered || (st->is_whole && st->last != EVENTS - 1);

	g_mutex_lock(&lock);
	n_mixed += st->is_mixed;
	n_disordered += is_disordered;
	if (st->is_mixed || is_disordered)
		printf("stream %s, begun by %s (%s), last try %s (%s): mixed %d, disordered %d\n",
		       st->origin, st->began_at, st->version, st->attempt, st->upstream,
		       st->is_mixed, is_disordered);
	g_mutex_unlock(&lock);
}

void takeup_play(struct prng *prng)
{
	struct stream st;

	stream_init(&st);
	for (int i = 0; i < TRIES && !st.is_whole; i++) {
		uint32_t node = (uint32_t)prng_below(prng, c->n_nodes);
		bool is_new = st.last < 0;
		bool leaves = prng_below(prng, 2) == 0;
		stream_open(&st, c, node, "/resume/x");
		stream_read(&st,
			    leaves ? st.last + 1 + (int)prng_below(prng, LEAVE_EVENTS) : EVENTS);
		note_try(&st, node, is_new);
		stream_close(&st);
		clock_sleep_ms((int64_t)prng_below(prng, PAUSE_MS));
	}
	note_stream(&st);
	stream_clear(&st);
}

static double share(const struct tally *t)
{
	return t->tries > 0 ? (double)t->served / t->tries : 0;
}

uint32_t takeup_check(void)
{
	bool is_lost =
		taken_up.tries >= TAKEN_UP_MIN && share(&taken_up) < SHARE_MIN * share(&begun);

	printf("streams: %u of two versions, %u disordered; in touch %u of %u begin, %u of %u go "
	       "on\n",
	       n_mixed, n_disordered, begun.served, begun.tries, taken_up.served, taken_up.tries);
	return (n_mixed > MIXED_MAX) + (n_disordered > 0) + is_lost;
}
