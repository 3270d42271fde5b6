#include "outage.h"

#include "base/clock.h"
#include "base/prng.h"

#include <stdio.h>

#define SHORTEST_MS 1000
#define LONGEST_MS 6000
#define BEGIN_OF 3 /* one in this many chances is taken */
#define PAUSE_SHORTEST_MS 500
#define PAUSE_LONGEST_MS 2000

static const enum stub_cut cuts[] = {STUB_CUT_REFUSE, STUB_CUT_RESET, STUB_CUT_HANG, STUB_CUT_NEW};

static struct cluster *cluster;
static struct prng prng;
static uint32_t first;	 /* node that is cut off */
static uint32_t n_nodes; /* cut off, every other node from the first; 0: there is no outage */
static int64_t end_ms;
static uint32_t n_outages;
static uint32_t n_pauses;

void outage_start(struct cluster *c, uint64_t seed)
{
	cluster = c;
	prng.state = seed << 32;
}

static void cut_nodes(enum stub_cut cut)
{
	for (uint32_t i = 0; i < n_nodes; i++)
		stub_cut_link(cluster->stub, (first + 2 * i) % cluster->n_nodes, cut, NULL);
}

static void begin(void)
{
	first = (uint32_t)prng_below(&prng, cluster->n_nodes);
	n_nodes = prng_below(&prng, 2) == 0 ? 1 : cluster->n_nodes / 2;
	end_ms =
		clock_now_ms() + SHORTEST_MS + (int64_t)prng_below(&prng, LONGEST_MS - SHORTEST_MS);
	cut_nodes(cuts[prng_below(&prng, G_N_ELEMENTS(cuts))]);
	n_outages++;
}

static void end(void)
{
	cut_nodes(STUB_CUT_NONE);
	n_nodes = 0;
}

static void pause_upstream(void)
{
	static const char *const ids[] = {"plain-1", "plain-2", "model-1",
					  "model-2", "first-1", "second-1"};
	const char *id = ids[prng_below(&prng, G_N_ELEMENTS(ids))];

	stub_pause_engine(cluster->stub, id,
			  PAUSE_SHORTEST_MS +
				  (int64_t)prng_below(&prng, PAUSE_LONGEST_MS - PAUSE_SHORTEST_MS));
	n_pauses++;
}

void outage_change(void)
{
	if (prng_below(&prng, BEGIN_OF) == 0)
		pause_upstream();
	if (n_nodes > 0 && clock_now_ms() >= end_ms)
		end();
	else if (n_nodes == 0 && prng_below(&prng, BEGIN_OF) == 0)
		begin();
}

void outage_clear(void)
{
	end();
	printf("soak: %u outages, %u pauses of upstreams\n", n_outages, n_pauses);
}
