/* Cuts a configuration document into the texts of its sections. */
#include "base/err.h"
#include "model/cfg.h"

#include <string.h>

#define CUT_NAME_BYTES 64

struct cut {
	struct cfg_section_text *texts;
	bool twice[CFG_SECTIONS];
	GPtrArray *faults;
	uint32_t n_faults;
	int open; /* section that lines are added to; -1: none */
};

static int find_section(const char *name)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (strcmp(cfg_section_name(i), name) == 0)
			return i;
	}
	return -1;
}

/* Copies the key of a line such as "places:"; false when it starts with none. */
static bool read_key(const char *line, size_t len, char *name)
{
	size_t n = 0;

	while (n < len && (g_ascii_isalnum(line[n]) || line[n] == '_'))
		n++;
	if (n == 0 || n >= CUT_NAME_BYTES || n == len || line[n] != ':')
		return false;
	if (n + 1 < len && !g_ascii_isspace(line[n + 1]))
		return false;
	memcpy(name, line, n);
	name[n] = '\0';
	return true;
}

static void add_fault(struct cut *cut, int line, const char *name, int code, const char *reason)
{
	schema_add_fault(cut->faults, "", line, 1, name, code, "%s", reason);
	cut->n_faults++;
}

static void open_section(struct cut *cut, const char *text, const char *name, int line)
{
	cut->open = find_section(name);
	if (cut->open < 0) {
		add_fault(cut, line, name, ERR_CONFIG_UNKNOWN_KEY, "no such section");
	} else if (cut->texts[cut->open].text) {
		add_fault(cut, line, name, ERR_CONFIG_DUPLICATE_KEY, "section stands twice");
		cut->twice[cut->open] = true;
		cut->open = -1;
	} else {
		cut->texts[cut->open].text = text;
		cut->texts[cut->open].line = line;
	}
}

/* Comments and blank lines behind a section are no part of it: they may speak of the next. */
static bool is_filler(const char *line, size_t len)
{
	size_t n = 0;

	while (n < len && g_ascii_isspace(line[n]))
		n++;
	return n == len || line[n] == '#';
}

static void take_line(struct cut *cut, const char *line, size_t len, int number)
{
	char name[CUT_NAME_BYTES];

	if (read_key(line, len, name))
		open_section(cut, line, name, number);
	if (cut->open >= 0 && !is_filler(line, len)) {
		struct cfg_section_text *text = &cut->texts[cut->open];
		text->len = (size_t)(line - text->text) + len;
	}
}

bool cfg_split(const char *text, size_t len, struct cfg_section_text texts[CFG_SECTIONS],
	       GPtrArray *faults)
{
	struct cut cut = {.texts = texts, .faults = faults, .open = -1};
	const char *end = text + len;
	int number = 1;

	memset(texts, 0, CFG_SECTIONS * sizeof(texts[0]));
	for (const char *at = text; at < end; number++) {
		const char *newline = memchr(at, '\n', (size_t)(end - at));
		size_t line_len = newline ? (size_t)(newline - at) : (size_t)(end - at);

		take_line(&cut, at, line_len, number);
		at += line_len + 1;
	}
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (cut.twice[i])
			texts[i].text = NULL;
	}
	return cut.n_faults == 0;
}
