/* Published configurations: reference counting and lookups. */
#include "model/pub.h"

#include <string.h>

struct pub_doc *pub_doc_new(void)
{
	struct pub_doc *doc = g_new0(struct pub_doc, 1);

	doc->refs = 1;
	return doc;
}

void pub_doc_build_index(struct pub_doc *doc)
{
	doc->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	for (uint32_t i = 0; i < doc->n_accounts; i++) {
		for (char **key = doc->accounts[i].keys; key && *key; key++)
			g_hash_table_insert(doc->by_key, *key, &doc->accounts[i]);
	}
}

struct pub_doc *pub_doc_ref(struct pub_doc *doc)
{
	if (doc)
		doc->refs++;
	return doc;
}

static void clear_route(struct pub_route *r)
{
	g_free(r->name);
	g_free(r->host);
	g_free(r->path_prefix);
	for (uint32_t i = 0; i < r->n_shares; i++)
		g_free(r->shares[i].service);
	g_free(r->shares);
	for (uint32_t i = 0; i < r->n_stages; i++)
		g_free(r->stages[i].service);
	g_free(r->stages);
	g_strfreev(r->regions);
}

void pub_doc_unref(struct pub_doc *doc)
{
	if (!doc || --doc->refs > 0)
		return;
	for (uint32_t i = 0; i < doc->n_routes; i++)
		clear_route(&doc->routes[i]);
	g_free(doc->routes);
	for (uint32_t i = 0; i < doc->n_services; i++)
		g_free(doc->services[i].name);
	g_free(doc->services);
	for (uint32_t i = 0; i < doc->n_accounts; i++) {
		g_free(doc->accounts[i].name);
		g_strfreev(doc->accounts[i].keys);
		g_strfreev(doc->accounts[i].regions);
	}
	g_free(doc->accounts);
	g_free(doc->source);
	if (doc->by_key)
		g_hash_table_destroy(doc->by_key);
	g_free(doc);
}

const struct pub_route *pub_find_route(const struct pub_doc *doc, const char *host,
				       const char *path)
{
	const struct pub_route *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; i < doc->n_routes; i++) {
		const struct pub_route *r = &doc->routes[i];
		size_t len = strlen(r->path_prefix);
		if (g_ascii_strcasecmp(r->host, host) != 0)
			continue;
		if (strncmp(path, r->path_prefix, len) == 0 && (!best || len > best_len)) {
			best = r;
			best_len = len;
		}
	}
	return best;
}

const struct pub_service *pub_find_service(const struct pub_doc *doc, const char *name)
{
	for (uint32_t i = 0; i < doc->n_services; i++) {
		if (strcmp(doc->services[i].name, name) == 0)
			return &doc->services[i];
	}
	return NULL;
}

const struct pub_account *pub_find_account(const struct pub_doc *doc, const char *key)
{
	return g_hash_table_lookup(doc->by_key, key);
}

bool pub_allows_region(char *const *regions, const char *region)
{
	if (!regions)
		return true;
	for (; *regions; regions++) {
		if (strcmp(*regions, region) == 0)
			return true;
	}
	return false;
}

bool pub_is_host_bound(const struct pub_doc *doc, const char *host)
{
	for (uint32_t i = 0; i < doc->n_routes; i++) {
		const struct pub_route *r = &doc->routes[i];
		if (r->regions && (!host || g_ascii_strcasecmp(r->host, host) == 0))
			return true;
	}
	for (uint32_t i = 0; i < doc->n_accounts; i++) {
		if (doc->accounts[i].regions)
			return true;
	}
	return false;
}

void pub_upstream_free(struct pub_upstream *upstream)
{
	if (!upstream)
		return;
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->data_centre);
	g_free(upstream->version);
	g_free(upstream);
}
