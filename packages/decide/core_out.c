/* Command lists of the decision core. */
#include "core_int.h"

static void free_cmd(gpointer data)
{
	struct core_cmd *cmd = data;

	if (cmd->body)
		g_bytes_unref(cmd->body);
	g_free(cmd->demand);
}

void core_out_init(struct core_out *out)
{
	out->cmds = g_array_new(FALSE, TRUE, sizeof(struct core_cmd));
	g_array_set_clear_func(out->cmds, free_cmd);
}

void core_out_clear(struct core_out *out)
{
	g_array_set_size(out->cmds, 0);
}

void core_out_free(struct core_out *out)
{
	g_array_unref(out->cmds);
}

struct core_cmd *core_push(struct core_out *out, enum core_cmd_type type, uint64_t req)
{
	struct core_cmd cmd = {.type = type, .req = req};

	g_array_append_val(out->cmds, cmd);
	return &g_array_index(out->cmds, struct core_cmd, out->cmds->len - 1);
}

void core_push_to_node(struct core_out *out, enum core_cmd_type type, const struct bb_node *node)
{
	if (!node)
		return;
	struct core_cmd *cmd = core_push(out, type, 0);
	g_strlcpy(cmd->vm, node->vm, sizeof(cmd->vm));
	g_strlcpy(cmd->address, node->peer_address, sizeof(cmd->address));
}
