/* The text form of a ticket: VM, incarnation, serial and expiry, joined by dots. */
#include "decide/ticket.h"

#include <string.h>

#define TICKET_PARTS 4

bool ticket_parse(const char *text, struct ticket_id *id, GError **error)
{
	char **parts = g_strsplit(text, ".", TICKET_PARTS + 1);
	guint64 incarnation;
	guint64 serial;
	gint64 expires;
	bool ok = g_strv_length(parts) == TICKET_PARTS && parts[0][0] != '\0' &&
		  strlen(parts[0]) < BB_NAME_BYTES &&
		  g_ascii_string_to_unsigned(parts[1], 16, 1, G_MAXUINT64, &incarnation, NULL) &&
		  g_ascii_string_to_unsigned(parts[2], 10, 1, G_MAXUINT64, &serial, NULL) &&
		  g_ascii_string_to_signed(parts[3], 10, 0, G_MAXINT64, &expires, NULL);

	if (ok) {
		g_strlcpy(id->vm, parts[0], sizeof(id->vm));
		id->incarnation = incarnation;
		id->serial = serial;
		id->expires_wall_ms = expires;
	}
	g_strfreev(parts);
	return ok || err_set(error, ERR_TICKET_MALFORMED, "not a ticket");
}

void ticket_format(const struct ticket_id *id, char *text)
{
	g_snprintf(text, TICKET_TEXT_BYTES,
		   "%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT ".%" G_GINT64_FORMAT, id->vm,
		   id->incarnation, id->serial, id->expires_wall_ms);
}
