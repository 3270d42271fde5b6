/* The platform's VM list: which VMs are live and which are leaving. It lags. */
#ifndef MODEL_VMLIST_H
#define MODEL_VMLIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct vmlist_vm {
	char *id;
	char *data_centre;
	bool entry; /* an entry VM of the system, else a VM of upstreams */
	bool leaving;
	char *caller_address; /* host:port of an entry VM; "" for others */
	char *peer_address;   /* host:port of an entry VM; "" for others */
};

struct vmlist {
	int64_t version; /* rises with every change */
	struct vmlist_vm *vms;
	uint32_t n_vms;
};

/* NULL with *error set when text is not a VM list. The caller frees with vmlist_free(). */
struct vmlist *vmlist_parse(const char *text, size_t len, GError **error);
void vmlist_free(struct vmlist *list);

/* NULL when the list does not name it. */
const struct vmlist_vm *vmlist_find(const struct vmlist *list, const char *id);

#ifdef __cplusplus
}
#endif

#endif
