#include "base/prng.h"

#include "base/clock.h"

#include <sys/random.h>

uint64_t prng_next(struct prng *r)
{
	uint64_t z;

	r->state += UINT64_C(0x9e3779b97f4a7c15);
	z = r->state;
	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint64_t prng_below(struct prng *r, uint64_t n)
{
	return (uint64_t)(((unsigned __int128)prng_next(r) * n) >> 64);
}

double prng_unit(struct prng *r)
{
	return (double)(prng_next(r) >> 11) * 0x1.0p-53;
}

uint64_t prng_os_seed(void)
{
	uint64_t seed = 0;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = (uint64_t)clock_now_us();
	return seed;
}
