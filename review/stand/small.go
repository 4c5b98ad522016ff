package main

import (
	"errors"
	"net/http"
	"time"
)

// startSmall starts three model engines, which hold the whole model together, one plain engine and the daemons, and waits
// until requests of both services are served at each daemon.
func (w *world) startSmall() (models []*engine, plain *engine, err error) {
	if err = w.configure([]string{apiKey}, 0); err != nil {
		return nil, nil, err
	}
	for _, id := range []string{"i-7f3a91c2", "i-91c27f3a", "i-c27f3a91"} {
		model, err := w.startEngine(id, "a100")
		if err != nil {
			return nil, nil, err
		}
		models = append(models, model)
	}
	if plain, err = w.startEngine("i-02d9e6b4", ""); err != nil {
		return nil, nil, err
	}
	if err = w.startDaemons(); err != nil {
		return nil, nil, err
	}
	for _, d := range w.daemons {
		served := eventually(20*time.Second, func() bool {
			return w.send(d.front(), http.MethodPost, "/draft/1", 20*time.Second, "hello").Complete &&
				w.send(d.front(), http.MethodGet, "/read/1", 2*time.Second, "").Status == http.StatusOK
		})
		if !served {
			return nil, nil, errors.New("the deployment serves no requests at the start")
		}
	}
	return models, plain, nil
}

// visitNotes is the body of a request.
const visitNotes = "Visit notes of the household at the end of the road: nobody at home, come again on Monday.\n"
