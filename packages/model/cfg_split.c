/* Splits a configuration document into the texts of its sections. */
#include "base/err.h"
#include "model/cfg.h"

#include <string.h>

#define SECTION_NAME_BYTES 64

struct splitter {
	struct cfg_section_text *texts;
	bool duplicate[CFG_SECTIONS];
	GPtrArray *faults;
	uint32_t n_faults;
	int current; /* section that lines belong to; -1: none */
};

static int find_section(const char *name)
{
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (strcmp(cfg_section_name(i), name) == 0)
			return i;
	}
	return -1;
}

/* Copies the key of a line such as "places:". Returns false when the line starts with no key. */
static bool read_key(const char *line, size_t len, char *name)
{
	size_t n = 0;

	while (n < len && (g_ascii_isalnum(line[n]) || line[n] == '_'))
		n++;
	if (n == 0 || n >= SECTION_NAME_BYTES || n == len || line[n] != ':')
		return false;
	if (n + 1 < len && !g_ascii_isspace(line[n + 1]))
		return false;
	memcpy(name, line, n);
	name[n] = '\0';
	return true;
}

static void add_fault(struct splitter *splitter, int line, const char *name, int code,
		      const char *reason)
{
	schema_add_fault(splitter->faults, "", line, 1, name, code, "%s", reason);
	splitter->n_faults++;
}

static void open_section(struct splitter *splitter, const char *text, const char *name, int line)
{
	splitter->current = find_section(name);
	if (splitter->current < 0) {
		add_fault(splitter, line, name, ERR_CONFIG_UNKNOWN_KEY, "unknown section");
	} else if (splitter->texts[splitter->current].text) {
		add_fault(splitter, line, name, ERR_CONFIG_DUPLICATE_KEY, "duplicate section");
		splitter->duplicate[splitter->current] = true;
		splitter->current = -1;
	} else {
		splitter->texts[splitter->current].text = text;
		splitter->texts[splitter->current].line = line;
	}
}

/* Comments and blank lines at the end of a section are left out, as they may belong to the next. */
static bool is_blank_or_comment(const char *line, size_t len)
{
	size_t n = 0;

	while (n < len && g_ascii_isspace(line[n]))
		n++;
	return n == len || line[n] == '#';
}

static void take_line(struct splitter *splitter, const char *line, size_t len, int number)
{
	char name[SECTION_NAME_BYTES];

	if (read_key(line, len, name))
		open_section(splitter, line, name, number);
	if (splitter->current >= 0 && !is_blank_or_comment(line, len)) {
		struct cfg_section_text *text = &splitter->texts[splitter->current];
		text->len = (size_t)(line - text->text) + len;
	}
}

bool cfg_split(const char *text, size_t len, struct cfg_section_text texts[CFG_SECTIONS],
	       GPtrArray *faults)
{
	struct splitter splitter = {.texts = texts, .faults = faults, .current = -1};
	const char *end = text + len;
	int number = 1;

	memset(texts, 0, CFG_SECTIONS * sizeof(texts[0]));
	for (const char *at = text; at < end; number++) {
		const char *newline = memchr(at, '\n', (size_t)(end - at));
		size_t line_len = newline ? (size_t)(newline - at) : (size_t)(end - at);

		take_line(&splitter, at, line_len, number);
		at += line_len + 1;
	}
	for (int i = 0; i < CFG_SECTIONS; i++) {
		if (splitter.duplicate[i])
			texts[i].text = NULL;
	}
	return splitter.n_faults == 0;
}
