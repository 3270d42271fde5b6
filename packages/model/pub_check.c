/* Validation of published configurations. */
#include "model/pub_check.h"

#include "base/fetch.h"

#include <arpa/inet.h>
#include <string.h>

#define HOST_BYTES 64
#define SLOTS_MAX 1000000
#define COLD_MAX_MS 86400000	    /* a day */
#define BORN_MAX_MS 253402300799999 /* the last moment of the year 9999 */

static void add_fault(GPtrArray *faults, const char *reason, const char *kind, const char *item)
{
	char *text = g_strdup_printf("%s %s: ", kind, item);

	g_ptr_array_add(faults, g_strconcat(text, reason, NULL));
	g_free(text);
}

static void check_shares(const struct pub_doc *doc, const struct pub_route *r, GPtrArray *faults)
{
	double total = 0;

	for (uint32_t i = 0; i < r->n_shares; i++) {
		total += r->shares[i].weight;
		if (!pub_find_service(doc, r->shares[i].service))
			add_fault(faults, "one of its services is not published", "route", r->name);
	}
	if (total <= 0)
		add_fault(faults, "the total weight of its services is not positive", "route",
			  r->name);
}

static void check_stages(const struct pub_doc *doc, const struct pub_route *r, GPtrArray *faults)
{
	for (uint32_t i = 0; i < r->n_stages; i++) {
		const struct pub_service *s = pub_find_service(doc, r->stages[i].service);
		if (!s || !s->pool.present)
			add_fault(faults, "the service of a stage is not published or has no pool",
				  "route", r->name);
		if (r->stages[i].after >> i != 0)
			add_fault(faults, "a stage depends on itself or on a later stage", "route",
				  r->name);
	}
}

static void check_route(const struct pub_doc *doc, const struct pub_route *r, GPtrArray *faults)
{
	size_t len = strlen(r->path_prefix);

	if (len == 0 || r->path_prefix[0] != '/' || r->path_prefix[len - 1] != '/')
		add_fault(faults, "the path prefix does not begin and end with a slash", "route",
			  r->name);
	if (r->timeout_ms <= 0)
		add_fault(faults, "the timeout is not positive", "route", r->name);
	if (r->max_upstreams < 1)
		add_fault(faults, "the number of upstreams per attempt is below 1", "route",
			  r->name);
	check_shares(doc, r, faults);
	check_stages(doc, r, faults);
}

static void check_service(const struct pub_service *s, GPtrArray *faults)
{
	if (s->pool.present && (s->pool.batch_size < 1 || s->pool.slots < 1))
		add_fault(faults, "the batch size or the number of slots of the pool is below 1",
			  "service", s->name);
	if (s->cold_ms > 0 && s->cold_per_s <= 0)
		add_fault(faults, "the request rate during the cold start is not positive",
			  "service", s->name);
}

static void check_accounts(const struct pub_doc *doc, GPtrArray *faults)
{
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < doc->n_accounts; i++) {
		for (char **key = doc->accounts[i].keys; key && *key; key++) {
			if (!g_hash_table_add(keys, *key))
				add_fault(faults, "duplicate API key", "account",
					  doc->accounts[i].name);
		}
	}
	g_hash_table_destroy(keys);
}

GPtrArray *pub_check(const struct pub_doc *doc)
{
	GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);

	for (uint32_t i = 0; i < doc->n_routes; i++)
		check_route(doc, &doc->routes[i], faults);
	for (uint32_t i = 0; i < doc->n_services; i++)
		check_service(&doc->services[i], faults);
	check_accounts(doc, faults);
	return faults;
}

static bool is_address(const char *text)
{
	char host[HOST_BYTES];
	struct in_addr parsed;
	uint16_t port;

	return fetch_split_address(text, host, sizeof(host), &port) && port > 0 &&
	       inet_pton(AF_INET, host, &parsed) == 1;
}

/* Ids are sent in header fields. */
static bool is_id(const char *text)
{
	for (const char *at = text; *at; at++) {
		if (g_ascii_iscntrl(*at) || g_ascii_isspace(*at))
			return false;
	}
	return *text != '\0';
}

static bool is_within(int64_t value, int64_t max)
{
	return value >= 0 && value <= max;
}

const char *pub_upstream_fault(const struct pub_upstream *u)
{
	if (!is_id(u->id))
		return "the id is empty or has spaces or control characters";
	if (!is_address(u->address))
		return "the address is not an IPv4 address with a port";
	if (!is_within(u->slots, SLOTS_MAX))
		return "the number of slots is out of range";
	if (!is_within(u->cold_left_ms, COLD_MAX_MS))
		return "the rest of the cold start is out of range";
	if (!is_within(u->born_ms, BORN_MAX_MS) || u->sequence < 0)
		return "the time of the start or the sequence is out of range";
	return NULL;
}
