package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// foreignEntry lets another writer put an entry with layers that the model does not have, and then loses an engine, so
// that its layers have to be given to another one. Then it stops the daemon as planned.
func foreignEntry(w *world) error {
	models, _, err := w.startSmall()
	if err != nil {
		return err
	}
	if w.trouble {
		entry := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":"north-a","version":"v1","slots":192,"state":"ready","routeType":"a100","layers":{"source":80,"target":96,"version":1},"sequence":4}`, modelService)
		w.record.printf("entry of another writer at revision %d: %s", w.store.put("servers/i-4e0d52b7", []byte(entry)), entry)
	}
	time.Sleep(time.Second)
	models[0].end()
	w.record.printf("end   %s crashed", models[0].id)
	time.Sleep(3600 * time.Millisecond)
	models[0].withdraw()
	if _, err := w.startEngine("i-91e6f0aa", "a100"); err != nil {
		return err
	}
	d := w.daemons[0]
	served := eventually(12*time.Second, func() bool {
		return w.send(d.front(), http.MethodPost, "/draft/5", 5*time.Second, visitNotes).Complete
	})
	w.record.printf("served again by the engine that came instead: %t", served)
	d.signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(8 * time.Second):
		w.record.breaks("%s hangs: it has not ended within graceS after SIGTERM", d.name)
	}
	return nil
}
