#include "base/counter.h"

#include <stdatomic.h>

struct counter_desc {
	const char *name;
	const char *help;
};

#define COUNTER_ENTRY(id, name, help) [id] = {name, help},
static const struct counter_desc counter_descs[COUNTER_COUNT] = {COUNTER_LIST(COUNTER_ENTRY)};
#undef COUNTER_ENTRY

static atomic_uint_fast64_t counter_values[COUNTER_COUNT];

void counter_add(enum counter_id id, uint64_t n)
{
	atomic_fetch_add_explicit(&counter_values[id], n, memory_order_relaxed);
}

uint64_t counter_get(enum counter_id id)
{
	return atomic_load_explicit(&counter_values[id], memory_order_relaxed);
}

const char *counter_name(enum counter_id id)
{
	return counter_descs[id].name;
}

void counter_write_text(GString *out)
{
	for (int i = 0; i < COUNTER_COUNT; i++) {
		g_string_append_printf(out, "# HELP currantscale_%s %s\n", counter_descs[i].name,
				       counter_descs[i].help);
		g_string_append_printf(out, "# TYPE currantscale_%s counter\n",
				       counter_descs[i].name);
		g_string_append_printf(out, "currantscale_%s %" G_GUINT64_FORMAT "\n",
				       counter_descs[i].name, counter_get((enum counter_id)i));
	}
}
