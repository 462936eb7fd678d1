package store

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishgate/radishgate/platform"
)

// maxRecordBytes limits the size of an append request.
const maxRecordBytes = 8 << 20

// maxReadWait limits the duration of a long-poll read.
const maxReadWait = 30 * time.Second

// Handler returns a handler with the HTTP API that platform.Client uses, plus PUT
// /v1/faults, which sets the faults.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /v1/vms", s.serveVMs)
	mux.HandleFunc("PUT /v1/vms/{id}", s.serveAddVM)
	mux.HandleFunc("DELETE /v1/vms/{id}", s.serveRemoveVM)
	mux.HandleFunc("PUT /v1/faults", s.serveFaults)
	return mux
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	if len(data) < lengthPrefixBytes || int(binary.BigEndian.Uint32(data)) != len(data)-lengthPrefixBytes {
		http.Error(w, "not one record behind its length", http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.Context(), r.URL.Query().Get("topic"), data[lengthPrefixBytes:])
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, map[string]int64{"offset": offset})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	page, err := s.Read(r.Context(), r.URL.Query().Get("topic"), from, min(time.Duration(wait)*time.Millisecond, maxReadWait))
	if err != nil {
		writeError(w, err)
		return
	}
	if from < page.FirstOffset {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first-offset": page.FirstOffset})
		return
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(page.NextOffset))
	data = binary.BigEndian.AppendUint64(data, uint64(page.FirstOffset))
	for _, record := range page.Records {
		data = append(binary.BigEndian.AppendUint32(data, uint32(len(record.Data))), record.Data...)
	}
	_, _ = w.Write(data) // a client that missed the response reads again
}

// lengthPrefixBytes is the size of the length prefix of a record.
const lengthPrefixBytes = 4

func (s *Store) serveVMs(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	changes, err := s.VMChanges(r.URL.Query().Get("zone"), since)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, changes)
}

func (s *Store) serveAddVM(w http.ResponseWriter, r *http.Request) {
	var vm platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.ID = r.PathValue("id")
	if err := s.AddVM(vm); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, vm)
}

func (s *Store) serveRemoveVM(w http.ResponseWriter, r *http.Request) {
	s.RemoveVM(r.PathValue("id"))
	writeJSON(w, map[string]bool{"removed": true})
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if fault, ok := err.(*FaultError); ok && fault.Uncertain {
		status = http.StatusGatewayTimeout
	}
	http.Error(w, err.Error(), status)
}

func writeJSON(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
