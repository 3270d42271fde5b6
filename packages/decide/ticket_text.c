/*
 * Text form of a ticket: VM, incarnation in hexadecimal, serial, and expiry in ms of wall-clock
 * time, separated by dots.
 */
#include "decide/ticket.h"

#include <string.h>

#define TICKET_FIELDS 4

bool ticket_parse(const char *text, struct ticket_id *id, GError **error)
{
	char **fields = g_strsplit(text, ".", TICKET_FIELDS + 1);
	guint64 incarnation;
	guint64 serial;
	gint64 expires;
	bool ok = g_strv_length(fields) == TICKET_FIELDS && fields[0][0] != '\0' &&
		  strlen(fields[0]) < BB_NAME_BYTES &&
		  g_ascii_string_to_unsigned(fields[1], 16, 1, G_MAXUINT64, &incarnation, NULL) &&
		  g_ascii_string_to_unsigned(fields[2], 10, 1, G_MAXUINT64, &serial, NULL) &&
		  g_ascii_string_to_signed(fields[3], 10, 0, G_MAXINT64, &expires, NULL);

	if (ok) {
		g_strlcpy(id->vm, fields[0], sizeof(id->vm));
		id->incarnation = incarnation;
		id->serial = serial;
		id->expires_wall_ms = expires;
	}
	g_strfreev(fields);
	return ok || err_set(error, ERR_TICKET_MALFORMED,
			     "malformed ticket, expected VM.INCARNATION.SERIAL.EXPIRY");
}

void ticket_format(const struct ticket_id *id, char *text)
{
	g_snprintf(text, TICKET_TEXT_BYTES,
		   "%s.%" G_GINT64_MODIFIER "x.%" G_GUINT64_FORMAT ".%" G_GINT64_FORMAT, id->vm,
		   id->incarnation, id->serial, id->expires_wall_ms);
}
