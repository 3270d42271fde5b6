/* Parser and lookup for the VM list of the platform. */
#include "model/vmlist.h"

#include "base/err.h"

#include <jansson.h>
#include <string.h>

static char *copy_text(json_t *vm, const char *key)
{
	const char *text = json_string_value(json_object_get(vm, key));

	return g_strdup(text ? text : "");
}

static bool read_vm(json_t *json, struct vmlist_vm *vm, GError **error)
{
	const char *role = json_string_value(json_object_get(json, "role"));
	const char *state = json_string_value(json_object_get(json, "state"));

	if (!role || !state || !json_string_value(json_object_get(json, "id")))
		return err_set(error, ERR_BAD_JSON, "VM list: a VM has no id, role or state");
	vm->id = copy_text(json, "id");
	vm->data_centre = copy_text(json, "data_centre");
	vm->caller_address = copy_text(json, "caller_address");
	vm->peer_address = copy_text(json, "peer_address");
	vm->entry = strcmp(role, "entry") == 0;
	vm->leaving = strcmp(state, "live") != 0;
	return true;
}

static bool read_vms(json_t *root, struct vmlist *list, GError **error)
{
	json_t *vms = json_object_get(root, "vms");

	if (!json_is_array(vms) || !json_is_integer(json_object_get(root, "version")))
		return err_set(error, ERR_BAD_JSON,
			       "VM list: version or vms is missing or has the wrong type");
	list->version = json_integer_value(json_object_get(root, "version"));
	list->n_vms = (uint32_t)json_array_size(vms);
	list->vms = g_new0(struct vmlist_vm, list->n_vms + 1);
	for (uint32_t i = 0; i < list->n_vms; i++) {
		if (!read_vm(json_array_get(vms, i), &list->vms[i], error))
			return false;
	}
	return true;
}

struct vmlist *vmlist_parse(const char *text, size_t len, GError **error)
{
	json_error_t parse_error;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &parse_error);
	struct vmlist *list;

	if (!root) {
		err_set(error, ERR_BAD_JSON, "VM list: invalid JSON at line %d: %s",
			parse_error.line, parse_error.text);
		return NULL;
	}
	list = g_new0(struct vmlist, 1);
	if (!read_vms(root, list, error)) {
		vmlist_free(list);
		list = NULL;
	}
	json_decref(root);
	return list;
}

void vmlist_free(struct vmlist *list)
{
	if (!list)
		return;
	for (uint32_t i = 0; i < list->n_vms; i++) {
		g_free(list->vms[i].id);
		g_free(list->vms[i].data_centre);
		g_free(list->vms[i].caller_address);
		g_free(list->vms[i].peer_address);
	}
	g_free(list->vms);
	g_free(list);
}

const struct vmlist_vm *vmlist_find(const struct vmlist *list, const char *id)
{
	for (uint32_t i = 0; i < list->n_vms; i++) {
		if (strcmp(list->vms[i].id, id) == 0)
			return &list->vms[i];
	}
	return NULL;
}
