#include "decide/reach.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define SIGHTINGS_MAX 32 /* more than the probes of a suspicion */
/* Probes when a suspicion begins, and later if none of these has connected. */
#define FIRST_PROBES 3
#define SECOND_PROBES 9
#define SECOND_AFTER_MS 200
#define ROUNDS 2
/* Different upstreams that must have failed; all of them if fewer are known. */
#define FAILED_MIN 12
/* A suspicion that hasn't been decided by then ends: the probes couldn't be sent. */
#define SUSPECT_MAX_MS 2500
/* Time between two suspicions, while upstreams fail and others are reached. */
#define REST_MS 1000
/* Further failures of an upstream are no news for this long. */
#define KNOWN_FAILED_MS 10000
/* A node that has opened no connection for this long probes an upstream. */
#define IDLE_MS 4000
/* Probes of an isolated node. */
#define ISOLATED_PROBES 2
#define ISOLATED_INTERVAL_MS 300
/* Different upstreams that an isolated node must reach within RETURN_WINDOW_MS. */
#define RETURN_UPSTREAMS 2
#define RETURN_WINDOW_MS 2000
/* Without any upstream reached for this long, an isolated node that was about to return isn't. */
#define RETURN_SILENCE_MS 1000
/* An isolation that follows another this soon ends only after a longer time without failure. */
#define FLAP_WINDOW_MS 5000
#define FLAP_HOLD_MS 500
#define FLAP_HOLD_MAX_MS 1000
#define FLAPS_MAX 8
/* A longer time between updates means that the process was suspended. */
#define GAP_MS 1000
/* Probes older than this don't influence which upstreams are probed next. */
#define SPREAD_WINDOW_MS 2000
#define REPEAT_PENALTY 100 /* more than the probes in the window, per service and data centre */

/* What is known of an upstream; times are 0 for never. */
struct sighting {
	char id[REACH_ID_BYTES];
	uint64_t hash;
	int64_t failed_ms;    /* no connection has stood since */
	int64_t connected_ms; /* of a connection that hasn't stood for REACH_SETTLE_MS yet */
	int64_t reached_ms;   /* of the newest that has; 0 after a reset */
	int64_t noted_ms;
};

struct probe {
	uint64_t id; /* hashes */
	uint64_t service;
	uint64_t data_centre;
	int64_t sent_ms;
	bool is_ended; /* has failed */
};

struct reach {
	enum reach_state state;
	int64_t since_ms;
	int64_t updated_ms;
	uint32_t n_known;
	struct sighting sightings[SIGHTINGS_MAX];
	struct probe probes[REACH_PROBES_PER_S]; /* ring of the newest */
	uint32_t next_probe;
	int64_t probed_ms;	 /* when the newest was sent */
	int64_t failed_ms;	 /* newest failure that was news */
	int64_t reached_ms;	 /* newest connection that stood */
	int64_t suspect_from_ms; /* the failure that began the newest suspicion */
	uint32_t rounds;	 /* of probes in that suspicion */
	int64_t rest_until_ms;
	int64_t returning_ms; /* since when enough upstreams are reached; 0: they aren't */
	int64_t returned_ms;  /* when the node was last isolated; 0: never */
	uint32_t flaps;
};

static uint64_t hash_of(const char *text)
{
	return XXH64(text, strlen(text), 0);
}

struct reach *reach_new(int64_t now_ms)
{
	struct reach *r = g_new0(struct reach, 1);

	r->since_ms = now_ms;
	r->updated_ms = now_ms;
	r->reached_ms = now_ms;
	return r;
}

void reach_free(struct reach *r)
{
	g_free(r);
}

/* Returns the sighting of an upstream, in place of the oldest if it has none. */
static struct sighting *find_sighting(struct reach *r, const char *id, int64_t now_ms)
{
	struct sighting *oldest = &r->sightings[0];
	uint64_t hash = hash_of(id);

	for (uint32_t i = 0; i < SIGHTINGS_MAX; i++) {
		struct sighting *s = &r->sightings[i];
		if (s->hash == hash && s->noted_ms > 0) {
			s->noted_ms = now_ms;
			return s;
		}
		if (s->noted_ms < oldest->noted_ms)
			oldest = s;
	}
	*oldest = (struct sighting){.hash = hash, .noted_ms = now_ms};
	g_strlcpy(oldest->id, id, sizeof(oldest->id));
	return oldest;
}

static void note_failure(struct reach *r, struct sighting *s, int64_t now_ms)
{
	bool is_known =
		s->failed_ms > 0 && s->connected_ms == 0 && now_ms - s->failed_ms < KNOWN_FAILED_MS;

	if (!is_known)
		r->failed_ms = now_ms;
	s->failed_ms = now_ms;
	for (uint32_t i = 0; i < REACH_PROBES_PER_S; i++)
		r->probes[i].is_ended = r->probes[i].is_ended || r->probes[i].id == s->hash;
}

void reach_note(struct reach *r, const char *id, enum reach_event event, int64_t now_ms)
{
	struct sighting *s = find_sighting(r, id, now_ms);

	switch (event) {
	case REACH_CONNECTED:
		if (s->connected_ms == 0)
			s->connected_ms = now_ms;
		break;
	case REACH_FAILED:
		/* the attempt may have begun long before a connection that stands */
		note_failure(r, s, now_ms);
		break;
	case REACH_RESET:
		note_failure(r, s, now_ms);
		s->connected_ms = 0;
		s->reached_ms = 0;
		break;
	}
}

static void settle_connections(struct reach *r, int64_t now_ms)
{
	for (uint32_t i = 0; i < SIGHTINGS_MAX; i++) {
		struct sighting *s = &r->sightings[i];
		if (s->connected_ms == 0 || now_ms - s->connected_ms < REACH_SETTLE_MS)
			continue;
		s->reached_ms = s->connected_ms;
		r->reached_ms = MAX(r->reached_ms, s->connected_ms);
		s->connected_ms = 0;
		s->failed_ms = 0;
	}
}

static void set_state(struct reach *r, enum reach_state state, int64_t now_ms)
{
	r->state = state;
	r->since_ms = now_ms;
}

/* Drops all evidence; the probes' times still bound their rate. */
static void forget(struct reach *r)
{
	memset(r->sightings, 0, sizeof(r->sightings));
	r->failed_ms = 0;
	r->returning_ms = 0;
}

static uint32_t count_failed(const struct reach *r, int64_t from_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SIGHTINGS_MAX; i++)
		n += r->sightings[i].failed_ms >= from_ms;
	return n;
}

static uint32_t count_reached(const struct reach *r, int64_t from_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SIGHTINGS_MAX; i++)
		n += r->sightings[i].reached_ms >= from_ms;
	return n;
}

static bool are_probes_ended(const struct reach *r, int64_t now_ms)
{
	if (r->rounds < ROUNDS)
		return false;
	if (now_ms - r->probed_ms > REACH_PROBE_TIMEOUT_MS)
		return true;
	for (uint32_t i = 0; i < REACH_PROBES_PER_S; i++) {
		if (r->probes[i].sent_ms >= r->since_ms && !r->probes[i].is_ended)
			return false;
	}
	return true;
}

static void isolate(struct reach *r, int64_t now_ms)
{
	bool is_flap = r->returned_ms > 0 && now_ms - r->returned_ms < FLAP_WINDOW_MS;

	r->flaps = is_flap ? MIN(r->flaps + 1, FLAPS_MAX) : 0;
	r->returning_ms = 0;
	set_state(r, REACH_ISOLATED, now_ms);
}

/* Returns how many more different upstreams must fail before the node is isolated. */
static uint32_t count_missing(const struct reach *r)
{
	uint32_t wanted = MIN(FAILED_MIN, r->n_known);

	return wanted - MIN(count_failed(r, r->suspect_from_ms), wanted);
}

static void update_suspect(struct reach *r, int64_t now_ms)
{
	if (r->reached_ms >= r->suspect_from_ms || r->n_known < REACH_UPSTREAMS_MIN) {
		r->rest_until_ms = now_ms + REST_MS;
		set_state(r, REACH_REACHING, now_ms);
	} else if (are_probes_ended(r, now_ms) && count_missing(r) == 0) {
		isolate(r, now_ms);
	} else if (now_ms - r->since_ms > SUSPECT_MAX_MS) {
		forget(r);
		set_state(r, REACH_REACHING, now_ms);
	}
}

static void update_isolated(struct reach *r, int64_t now_ms)
{
	int64_t hold_ms = r->flaps > 0 ? MIN(FLAP_HOLD_MS << r->flaps, FLAP_HOLD_MAX_MS) : 0;
	uint32_t reached = count_reached(r, MAX(now_ms - RETURN_WINDOW_MS, r->since_ms));

	if (reached == 0 || reached < MIN(RETURN_UPSTREAMS, r->n_known) ||
	    now_ms - r->reached_ms > RETURN_SILENCE_MS) {
		r->returning_ms = 0;
		return;
	}
	if (r->returning_ms == 0)
		r->returning_ms = now_ms;
	if (now_ms - r->returning_ms < hold_ms)
		return;
	forget(r);
	r->returned_ms = now_ms;
	set_state(r, REACH_REACHING, now_ms);
}

enum reach_state reach_update(struct reach *r, uint32_t n_known, int64_t now_ms)
{
	bool was_suspended = now_ms - r->updated_ms > GAP_MS;

	r->updated_ms = now_ms;
	r->n_known = n_known;
	if (was_suspended) {
		forget(r);
		if (r->state == REACH_SUSPECT)
			set_state(r, REACH_REACHING, now_ms);
		return r->state;
	}
	settle_connections(r, now_ms);
	switch (r->state) {
	case REACH_REACHING:
		if (r->failed_ms <= r->reached_ms || n_known < REACH_UPSTREAMS_MIN ||
		    now_ms < r->rest_until_ms)
			break;
		r->suspect_from_ms = r->failed_ms;
		r->rounds = 0;
		set_state(r, REACH_SUSPECT, now_ms);
		break;
	case REACH_SUSPECT:
		update_suspect(r, now_ms);
		break;
	case REACH_ISOLATED:
		update_isolated(r, now_ms);
		break;
	}
	return r->state;
}

/* Returns how many probes may be sent without more than REACH_PROBES_PER_S in a second. */
static uint32_t count_allowed(const struct reach *r, int64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < REACH_PROBES_PER_S; i++)
		n += r->probes[i].sent_ms == 0 ||
		     now_ms - r->probes[i].sent_ms >= G_TIME_SPAN_SECOND / G_TIME_SPAN_MILLISECOND;
	return n;
}

uint32_t reach_count_due(const struct reach *r, int64_t now_ms)
{
	uint32_t due = 0;

	switch (r->state) {
	case REACH_REACHING:
		due = now_ms - MAX(r->reached_ms, r->probed_ms) >= IDLE_MS;
		break;
	case REACH_SUSPECT:
		if (r->rounds == 0)
			due = FIRST_PROBES;
		else if (r->rounds < ROUNDS && now_ms - r->probed_ms >= SECOND_AFTER_MS)
			due = SECOND_PROBES;
		else if (are_probes_ended(r, now_ms))
			due = count_missing(r);
		break;
	case REACH_ISOLATED:
		due = now_ms - r->probed_ms >= ISOLATED_INTERVAL_MS ? ISOLATED_PROBES : 0;
		break;
	}
	return MIN(due, count_allowed(r, now_ms));
}

/* Returns how much the upstream resembles those that were probed or have failed lately. */
static uint32_t penalty(const struct reach *r, const struct probe *candidate, int64_t now_ms)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < REACH_PROBES_PER_S; i++) {
		const struct probe *p = &r->probes[i];
		if (p->sent_ms == 0 || now_ms - p->sent_ms > SPREAD_WINDOW_MS)
			continue;
		sum += p->id == candidate->id ? REPEAT_PENALTY : 0;
		sum += p->service == candidate->service;
		sum += p->data_centre == candidate->data_centre;
	}
	for (uint32_t i = 0; i < SIGHTINGS_MAX; i++) {
		const struct sighting *s = &r->sightings[i];
		if (s->hash == candidate->id && s->failed_ms > 0 &&
		    now_ms - s->failed_ms <= SPREAD_WINDOW_MS)
			sum += REPEAT_PENALTY;
	}
	return sum;
}

/* Returns a random one of the candidates with the lowest penalty. */
static uint32_t pick_one(const struct reach *r, const struct probe *hashes, uint32_t n,
			 struct prng *prng, int64_t now_ms)
{
	uint32_t lowest = UINT32_MAX;
	uint32_t n_lowest = 0;
	uint32_t best = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t own = penalty(r, &hashes[i], now_ms);
		if (own > lowest)
			continue;
		n_lowest = own < lowest ? 1 : n_lowest + 1;
		lowest = own;
		if (prng_below(prng, n_lowest) == 0)
			best = i;
	}
	return best;
}

uint32_t reach_pick_probes(struct reach *r, const struct reach_candidate *candidates, uint32_t n,
			   struct prng *prng, uint32_t *picked, int64_t now_ms)
{
	uint32_t due = n >= REACH_UPSTREAMS_MIN || (n > 0 && r->state == REACH_ISOLATED)
			       ? reach_count_due(r, now_ms)
			       : 0;
	struct probe *hashes;

	if (due == 0)
		return 0;
	hashes = g_new0(struct probe, n);
	for (uint32_t i = 0; i < n; i++)
		hashes[i] = (struct probe){
			.id = hash_of(candidates[i].id),
			.service = hash_of(candidates[i].service),
			.data_centre = hash_of(candidates[i].data_centre),
			.sent_ms = now_ms,
		};
	for (uint32_t i = 0; i < due; i++) {
		picked[i] = pick_one(r, hashes, n, prng, now_ms);
		r->probes[r->next_probe] = hashes[picked[i]];
		r->next_probe = (r->next_probe + 1) % REACH_PROBES_PER_S;
	}
	g_free(hashes);
	r->probed_ms = now_ms;
	r->rounds += r->state == REACH_SUSPECT;
	return due;
}

enum reach_state reach_get_state(const struct reach *r)
{
	return r->state;
}

int64_t reach_since_ms(const struct reach *r)
{
	return r->since_ms;
}

uint32_t reach_list_failures(const struct reach *r, struct reach_failure *failures,
			     uint32_t capacity)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < SIGHTINGS_MAX && n < capacity; i++) {
		const struct sighting *s = &r->sightings[i];
		if (s->failed_ms > 0 && s->failed_ms >= r->suspect_from_ms)
			failures[n++] = (struct reach_failure){s->id, s->failed_ms};
	}
	return n;
}
