/* Seeded pseudorandom numbers. Decision code uses only generators that are passed to it. */
#ifndef BASE_PRNG_H
#define BASE_PRNG_H

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct prng {
	uint64_t state;
};

/* SplitMix64 (Steele, Lea, Flood, "Fast splittable pseudorandom number generators", 2014). */
uint64_t prng_next(struct prng *r);

/* Returns a number that is uniform in 0..n-1; n must not be 0. */
uint64_t prng_below(struct prng *r, uint64_t n);

/* Returns a number that is uniform in [0, 1). */
double prng_unit(struct prng *r);

/* Returns a seed from the operating system, for unique ids; not for reproducible decisions. */
uint64_t prng_os_seed(void);

#ifdef __cplusplus
}
#endif

#endif
