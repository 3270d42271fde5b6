/* Commands of the decisions. */
#include "dec_int.h"

static void free_cmd(gpointer data)
{
	struct dec_cmd *cmd = data;

	if (cmd->body)
		g_bytes_unref(cmd->body);
	g_free(cmd->demand);
}

void dec_out_init(struct dec_out *out)
{
	out->cmds = g_array_new(FALSE, TRUE, sizeof(struct dec_cmd));
	g_array_set_clear_func(out->cmds, free_cmd);
}

void dec_out_clear(struct dec_out *out)
{
	g_array_set_size(out->cmds, 0);
}

void dec_out_free(struct dec_out *out)
{
	g_array_unref(out->cmds);
}

struct dec_cmd *dec_push(struct dec_out *out, enum dec_cmd_type type, uint64_t req)
{
	struct dec_cmd cmd = {.type = type, .req = req};

	g_array_append_val(out->cmds, cmd);
	return &g_array_index(out->cmds, struct dec_cmd, out->cmds->len - 1);
}

void dec_push_to_node(struct dec_out *out, enum dec_cmd_type type, const struct bb_node *node)
{
	if (!node)
		return;
	struct dec_cmd *cmd = dec_push(out, type, 0);
	g_strlcpy(cmd->vm, node->vm, sizeof(cmd->vm));
	g_strlcpy(cmd->address, node->peer_address, sizeof(cmd->address));
}
