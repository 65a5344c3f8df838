package tree

// Kind is the kind of a branch, given by its position in the tree. It determines which settings the branch may have.
type Kind uint8

const (
	// Root is the branch "/", from which all others inherit.
	Root Kind = iota
	// Fleet is the branch "/fleet", for settings that belong to no workspace.
	Fleet
	// Model is a branch "/models/{model}".
	Model
	// Service is a branch "/services/{service}".
	Service
	// Operator is a branch "/operators/{operator}".
	Operator
	// Workspace is a branch "/workspaces/{workspace}".
	Workspace
	// WorkspaceModel is a branch "/workspaces/{workspace}/models/{model}".
	WorkspaceModel
	// WorkspaceService is a branch "/workspaces/{workspace}/services/{service}".
	WorkspaceService
)

// Names of the tables that contain branches.
const (
	fleetTable      = "fleet"
	modelsTable     = "models"
	servicesTable   = "services"
	operatorsTable  = "operators"
	workspacesTable = "workspaces"
)

// Pattern returns the path pattern of branches of kind k.
func (k Kind) Pattern() string {
	return patterns[k]
}

var patterns = [...]string{
	Root:             "/",
	Fleet:            "/fleet",
	Model:            "/models/{model}",
	Service:          "/services/{service}",
	Operator:         "/operators/{operator}",
	Workspace:        "/workspaces/{workspace}",
	WorkspaceModel:   "/workspaces/{workspace}/models/{model}",
	WorkspaceService: "/workspaces/{workspace}/services/{service}",
}

// collections maps each kind of branch to its tables and the kind of the branches in them.
var collections = map[Kind]map[string]Kind{
	Root:      {modelsTable: Model, servicesTable: Service, operatorsTable: Operator, workspacesTable: Workspace},
	Workspace: {modelsTable: WorkspaceModel, servicesTable: WorkspaceService},
}
