/* Lookups in a configuration document. */
#include "model/cfg.h"

#include <string.h>

#define KEY_DIGEST_HEX_CHARS 64

int cfg_find_service(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->services.n_items; i++) {
		if (strcmp(cfg->services.items[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int cfg_find_pipeline(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->pipelines.n_items; i++) {
		if (strcmp(cfg->pipelines.items[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int cfg_find_data_centre(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; i < cfg->places.n_data_centres; i++) {
		if (strcmp(cfg->places.data_centres[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

int cfg_find_call(const struct cfg_service *service, const char *name)
{
	for (uint32_t i = 0; i < service->n_calls; i++) {
		if (strcmp(service->calls[i].name, name) == 0)
			return (int)i;
	}
	return -1;
}

/* Constant-time comparison of two digests. */
static bool digest_equal(const char *a, const char *b)
{
	unsigned char difference = 0;

	for (int i = 0; i < KEY_DIGEST_HEX_CHARS; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

int cfg_find_account(const struct cfg *cfg, const char *key)
{
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	int found = -1;

	/* Compares with every account, so that the time does not reveal which one matched. */
	for (uint32_t i = 0; i < cfg->accounts.n_items; i++) {
		if (digest_equal(cfg->accounts.items[i].key_sha256, digest))
			found = (int)i;
	}
	g_free(digest);
	return found;
}
