/*
 * Fuzz target for the parsers of untrusted input: configuration documents, VM lists, tickets and
 * messages from other nodes, and the client that reads upstreams' answers. The first byte selects
 * the parser. For any input, a parser has to return either a value or a typed error, without a
 * leak.
 */
#include "base/err.h"
#include "decide/ticket.h"
#include "fuzz_client.h"
#include "model/cfg.h"
#include "model/vmlist.h"
#include "peer/peer.pb-c.h"

#include <stdlib.h>
#include <string.h>

static void parse_document(const char *text, size_t len)
{
	GPtrArray *faults = schema_faults_new();
	struct cfg *cfg = cfg_parse(text, len, faults);

	/* The result is either a document or at least one fault. */
	if ((cfg == NULL) != (faults->len > 0))
		abort();
	cfg_unref(cfg);
	g_ptr_array_unref(faults);
}

static void parse_list(const char *text, size_t len)
{
	GError *error = NULL;
	struct vmlist *list = vmlist_parse(text, len, &error);

	if ((list == NULL) != (error != NULL))
		abort();
	vmlist_free(list);
	g_clear_error(&error);
}

static void parse_ticket(const char *text, size_t len)
{
	char *copy = g_strndup(text, len);
	char formatted[TICKET_TEXT_BYTES];
	struct ticket_id id;
	struct ticket_id parsed_again;

	/* A parsed ticket must survive a round trip through its text form. */
	if (ticket_parse(copy, &id, NULL)) {
		ticket_format(&id, formatted);
		if (!ticket_parse(formatted, &parsed_again, NULL) ||
		    parsed_again.serial != id.serial ||
		    parsed_again.incarnation != id.incarnation ||
		    strcmp(parsed_again.vm, id.vm) != 0)
			abort();
	}
	g_free(copy);
}

static void parse_message(const char *data, size_t len)
{
	Peer__Message *message = peer__message__unpack(NULL, len, (const uint8_t *)data);

	if (message)
		peer__message__free_unpacked(message, NULL);
}

typedef void (*parse_fn)(const char *data, size_t len);

static const parse_fn parsers[] = {parse_document, parse_list, parse_ticket, parse_message,
				   fuzz_client};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (size > 0)
		parsers[data[0] % G_N_ELEMENTS(parsers)]((const char *)data + 1, size - 1);
	return 0;
}
