#include "decide/relay.h"

#include <string.h>

void relay_choice_init(struct relay_choice *choice)
{
	*choice = (struct relay_choice){.distance = RELAY_NOWHERE};
}

static bool is_allowed_region(char *const *regions, const char *region)
{
	if (!regions)
		return true;
	for (; *regions; regions++) {
		if (strcmp(*regions, region) == 0)
			return true;
	}
	return false;
}

static bool is_usable(const struct relay_query *query, const struct relay_candidate *c)
{
	return c->alive && c->ready && !c->leaving && !c->isolated && !c->avoided &&
	       is_allowed_region(query->regions, c->region) &&
	       (!query->tried || strcmp(query->tried, c->address) != 0);
}

static enum relay_distance distance_to(const struct relay_query *query,
				       const struct relay_candidate *c)
{
	if (strcmp(query->region, c->region) != 0)
		return RELAY_OTHER_REGION;
	return strcmp(query->data_centre, c->data_centre) == 0 ? RELAY_SAME_DATA_CENTRE
							       : RELAY_SAME_REGION;
}

void relay_choice_add(struct relay_choice *choice, const struct relay_query *query,
		      const struct relay_candidate *candidate, struct prng *prng)
{
	enum relay_distance distance;

	if (!is_usable(query, candidate))
		return;
	distance = distance_to(query, candidate);
	if (distance > choice->distance)
		return;
	if (distance < choice->distance) {
		choice->distance = distance;
		choice->n_equal = 0;
	}
	choice->n_equal++;
	if (prng_below(prng, choice->n_equal) == 0)
		choice->address = candidate->address;
}

bool relay_is_allowed(const struct relay_progress *progress)
{
	return !progress->is_relayed && progress->runs == 0 && progress->active == 0 &&
	       !progress->response_started;
}
