package caller

import (
	"net/http"
	"slices"

	"hornbeamwood/internal/base/verdict"
)

// modelList is the protocol's list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

// modelItem is the protocol's description of one model.
type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func newModelItem(name string) modelItem {
	return modelItem{ID: name, Object: "model", OwnedBy: "hornbeamwood"}
}

// models lists the workspace's models in the order of their names.
func (h *handler) models(x *exchange) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for n := range x.workspace.Models {
		if _, ok := x.snapshot.Models[n]; ok {
			list.Data = append(list.Data, newModelItem(n))
		}
	}
	slices.SortFunc(list.Data, func(a, b modelItem) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	x.writer.Header().Set(verdict.Header, verdict.Ran.String())
	x.json(http.StatusOK, list)
}

// model describes one of the workspace's models.
func (h *handler) model(x *exchange) {
	name := x.request.PathValue("model")
	_, ok := x.workspace.Models[name]
	if _, known := x.snapshot.Models[name]; !ok || !known {
		x.refuse(unknownModel())
		return
	}
	x.writer.Header().Set(verdict.Header, verdict.Ran.String())
	x.json(http.StatusOK, newModelItem(name))
}
